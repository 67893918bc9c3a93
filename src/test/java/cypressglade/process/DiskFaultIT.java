package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.process.RealScheduler.Place;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.Site;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A disk that fails for a while ends no process, and what was taken on meanwhile is kept once it
 * works again.
 */
class DiskFaultIT {
    private static final long FAULT_MS = 700;

    @TempDir Path folder;
    private final HttpPeer node = new HttpPeer(HttpPeer.answer(200, "", "the data"));
    private FaultLibrary faults;
    private Place place;

    @BeforeEach
    void prepare() throws Exception {
        faults = new FaultLibrary(Files.createDirectory(folder.resolve("faults")));
        place = Place.in(folder, Site.entry(0, node.hostPort(), "active", 0), "127.0.0.1:1", 192);
    }

    @AfterEach
    void stop() throws IOException {
        node.close();
    }

    private RealScheduler start() throws IOException {
        return RealScheduler.start(place, Optional.of(faults));
    }

    private Path bans() {
        return place.temporary().resolve("cypressglade-n1").resolve("bans.snap");
    }

    @Test
    void aProcessStartsOnADiskThatFailsAndKeepsItsBansLater() throws Exception {
        faults.on("disk");
        try (RealScheduler scheduler = start()) {
            assertThat(scheduler.call("exclude s-0")).startsWith("200 ");
            RealScheduler.pause(FAULT_MS);
            faults.off("disk");
            Site.await(() -> Files.exists(bans()));
        }
        try (RealScheduler next = start()) {
            assertThat(next.call("include s-0"))
                    .as("the ban was kept")
                    .isEqualTo("200 included s-0");
        }
    }

    /**
     * Guards against a newcomer that ends where it cannot leave its mark, and against two that both
     * take the whole.
     */
    @Test
    void anUpgradeOnADiskThatFailsGoesThrough() throws Exception {
        try (RealScheduler old = start()) {
            assertThat(old.call("exclude s-0")).startsWith("200 ");
            faults.on("disk");
            try (RealScheduler next = start()) {
                assertThat(next.call("exclude s-0")).as("the ban came over").startsWith("200 ");
                faults.off("disk");
                Site.await(
                        () ->
                                next.output().stream()
                                        .anyMatch(line -> line.contains("scheduler: 2")));
                old.signal("TERM");
                assertThat(old.exit()).isZero();
                Site.await(
                        () ->
                                next.output().stream()
                                        .anyMatch(line -> line.contains("scheduler: 1")));
            }
        }
    }

    /** A kill may leave a write half done: the generation before it counts. */
    @Test
    void aTornFileLeavesTheBansBeforeIt() throws Exception {
        try (RealScheduler scheduler = start()) {
            assertThat(scheduler.call("exclude s-0")).startsWith("200 ");
            assertThat(scheduler.call("include s-0")).startsWith("200 ");
            assertThat(scheduler.call("exclude s-0")).startsWith("200 ");
            scheduler.signal("KILL");
            scheduler.exit();
        }
        byte[] whole = Files.readAllBytes(bans());
        Files.copy(
                bans(),
                bans().resolveSibling("bans.snap.1"),
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        Files.write(
                bans(),
                java.util.Arrays.copyOf(whole, whole.length / 2),
                StandardOpenOption.TRUNCATE_EXISTING);
        try (RealScheduler next = start()) {
            assertThat(next.call("include s-0")).isEqualTo("200 included s-0");
        }
    }

    /**
     * Guards against a file that could not be read being taken for a wrong one, at the start and at
     * SIGHUP.
     */
    @Test
    void aConfigurationThatCannotBeReadForAMomentIsReadAgain() throws Exception {
        faults.on("read");
        try (RealScheduler scheduler = RealScheduler.begin(place, Optional.of(faults))) {
            RealScheduler.pause(FAULT_MS);
            faults.off("read");
            scheduler.awaitReady();
            faults.on("read");
            scheduler.signal("HUP");
            RealScheduler.pause(FAULT_MS);
            faults.off("read");
            Site.await(
                    () -> scheduler.output().stream().anyMatch(line -> line.contains("reloaded")));
        }
    }

    /**
     * What one process of an upgrade is told by an operator holds in the other too, within its next
     * looks.
     */
    @Test
    void aBanGivenToOneProcessOfAnUpgradeHoldsInTheOther() throws Exception {
        try (RealScheduler old = start();
                RealScheduler next = start()) {
            Site.await(() -> old.output().stream().anyMatch(line -> line.contains("scheduler: 2")));
            assertThat(next.call("exclude s-0")).startsWith("200 ");
            String told = "bans by the process beside: [s-0]";
            Site.await(() -> old.output().stream().anyMatch(line -> line.contains(told)));
        }
    }
}
