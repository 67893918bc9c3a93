package cypressglade.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cypressglade.core.NodeList;
import cypressglade.core.Scheduler.State;
import cypressglade.member.SwimSettings;
import cypressglade.peer.PeersConfig.Network;
import cypressglade.share.SharingSettings;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is told at the start; each unusable value is named by its path. */
class ConfigTest {
    private static final String ENTRY =
            "{\"id\":\"s-1\",\"addr\":\"10.1.0.18:5000\",\"zone\":\"a\",\"kind\":"
                    + "\"m\",\"cell\":3,\"state\":\"leaving\",\"weight\":1.5,\"started_ms\":1700000000123}";

    private static Config config(String from, String to) throws ConfigException, IOException {
        String text =
                Files.readString(Path.of("deploy/config.example.json"))
                        .replaceFirst("\\{\"id\":[^}]*}", ENTRY);
        assertThat(text).contains(from);
        return Config.parse("c.json", text.replace(from, to).getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void everyValueIsReadFromItsPlace() throws Exception {
        Config config = config("", "");
        assertThat(config.settings().classes())
                .extracting("name")
                .containsExactly("job-read", "job-write");
        assertThat(config.settings().classes()).extracting("write").containsExactly(false, true);
        assertThat(config.settings().plans().get(0).limitRate()).isEqualTo(1);
        assertThat(config.settings().limits().coldNodeUnits()).isEqualTo(11);
        assertThat(config.settings().seed()).isEqualTo(0x8c1f30d27a5be964L);
        assertThat(config.connectTimeout()).isEqualTo(Duration.ofMillis(250));
        NodeList.Entry entry = config.known().entries().get(0);
        assertThat(entry.state()).isEqualTo(State.DRAINING);
        assertThat(entry.started()).isEqualTo(Instant.ofEpochMilli(1700000000123L));
        assertThat(entry.address().getPort()).isEqualTo(5000);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            "seed":"8c1f30d27a5be964" | "seed":"not hex" | seed
            "listen":"127.0.0.1:0" | "listen":"somewhere" | listen
            "listen":"127.0.0.1:0" | "listen":"127.0.0.1:70000" | listen
            "cell":3 | "cell":-1 | known.servers.0.cell
            "state":"leaving" | "state":"asleep" | known.servers.0.state
            "addr":"10.1.0.18:5000" | "addr":"10.1.0.18" | known.servers.0.addr
            "attemptsCap":3 | "attemptsCap":"many" | limits.attemptsCap
            "effect":"read_like" | "effect":"odd" | categories.0.effect
            "categories" | "kategories" | settings
            "version":41 | "version":41.5 | known.version
            "name":"n1", | '' | name
            "memory_mb":192 | "memory_mb":8 | limits.memory_mb
            "sockets":1024 | "sockets":"many" | limits.sockets
            {"name" | ["name" | c.json
            "youngLimit":11}}} | "youngLimit":11}} | c.json
            "attemptsCap":3, | '' | settings.limits.attemptsCap
            "attemptsCap":3 | "attemptsCap":0 | settings.limits.attemptsCap
            "attemptsCap":3 | "attemptsCap":-2 | settings.limits.attemptsCap
            "deadlineUs":1000000, | '' | settings.categories.0.deadlineUs
            "deadlineUs":1000000 | "deadlineUs":0 | settings.categories.0.deadlineUs
            "deadlineUs":700000 | "deadlineUs":-700000 | settings.categories.1.deadlineUs
            "objectiveUs":400000, | '' | settings.categories.0.objectiveUs
            {"name":"job-read", | { | settings.categories.0.name
            """)
    void unusableValueIsNamedByItsPath(String from, String to, String path) {
        assertThatThrownBy(() -> config(from, to))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("c.json")
                .hasMessageContaining(path);
    }

    @Test
    void anEmptyOrCutFileIsRefused() {
        assertThatThrownBy(() -> Config.parse("c.json", new byte[0]))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("c.json");
        assertThatThrownBy(() -> config("\"plans\"", "\"plans\":[]}}, \"cut\""))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("c.json");
    }

    /** Guards against limits turned off by a file that lost the key of one. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            "rules":{"stopSendingWithinUs":500000,"coldFrom":0.29,"rampTimeUs":17000000,\
            "overloadFactor":2.0,"fallUs":1000000}, | '' | settings.rules.
            "coldFrom":0.29, | '' | settings.rules.coldFrom
            "balancers":1, | '' | settings.balancers
            "name":"standard", | '' | settings.plans.1.name
            "effect":"read_like", | '' | settings.categories.0.effect
            "limits":{"cores":1.0,"memory_mb":192,"sockets":1024}, | '' | limits.
            """)
    void aReloadMayNotLoseAKey(String key, String to, String path) throws Exception {
        Config inForce = config("", "");
        Config lost = config(key, to);
        assertThatThrownBy(() -> lost.checkAfter(inForce))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining(path)
                .hasMessageContaining("is missing");
        inForce.checkAfter(lost);
    }

    @Test
    void aReloadMayAddAndDropClassesAndValues() throws Exception {
        Config inForce = config("", "");
        config("\"attemptsCap\":3", "\"attemptsCap\":1").checkAfter(inForce);
        String more =
                "{\"name\":\"job-more\",\"effect\":\"idempotency_key\",\"keyTtlUs\":1,"
                        + "\"objectiveUs\":1,\"deadlineUs\":1,\"worth\":1,\"lateWorth\":0},";
        String write = "{\"name\":\"job-write\"";
        config(write, more + write).checkAfter(inForce);
        config("\"version\":41", "\"version\":42").checkAfter(inForce);
    }

    /**
     * Guards against sizes that hold on one day only: 256 descriptors were used up where 1,024 were
     * taken for granted.
     */
    @ParameterizedTest
    @CsvSource({"192, 1024, 256", "128, 256, 170", "96, 384, 128"})
    void budgetStaysWithinTheLimitsOfTheDay(int memory, int sockets, int requests)
            throws Exception {
        Budget budget =
                config(
                                "\"memory_mb\":192,\"sockets\":1024",
                                "\"memory_mb\":" + memory + ",\"sockets\":" + sockets)
                        .budget();
        assertThat(budget.requests()).isEqualTo(requests);
        assertThat(budget.clientConnections() + budget.nodeConnections())
                .isBetween(sockets * 3 / 4, sockets - 50);
        assertThat(budget.clientConnections()).isGreaterThan(sockets / 3);
        long bodies = budget.inputBytes() + 2L * budget.answerBytes();
        assertThat(bodies).as("all bodies in the heap").isLessThan(budget.heapBytes() * 6L / 10);
        assertThat(budget.heapBytes())
                .as("each of two heaps")
                .isLessThanOrEqualTo(memory * 1024 * 1024 / 7);
    }

    /** Guards against bounds on bytes that together are more than the heap that they protect. */
    @Test
    void allPartsOfTheHeapFitIntoItWhateverTheMemory() {
        for (int memory = 32; memory <= 1 << 20; memory += memory < 4096 ? 1 : 4096) {
            Budget budget = new Budget(memory, 1024);
            assertThat(budget.inputBytes()).as("%d MB", memory).isPositive();
            assertThat(budget.unassignedHeapBytes())
                    .as("beside all parts, for a program that serves nobody, at %d MB", memory)
                    .isGreaterThanOrEqualTo(3 << 20);
        }
    }

    /** Guards against bounds that follow a reload while the heap stays as it was at the start. */
    @Test
    void partsFollowTheHeapThatTheProcessHas() {
        Budget started = new Budget(128, 1024).inHeapOf(12 << 20);
        Budget reloaded = new Budget(256, 1024).inHeapOf(12 << 20);
        assertThat(reloaded.heapBytes()).isEqualTo(started.heapBytes()).isEqualTo(12 << 20);
        assertThat(reloaded.inputBytes()).isEqualTo(started.inputBytes());
    }

    /**
     * Guards against limits that are kept by each process of an upgrade and passed by both
     * together.
     */
    @ParameterizedTest
    @CsvSource({"192, 1024", "128, 384", "144, 576"})
    void twoProcessesShareWhatOneMayHold(int memory, int sockets) {
        Budget one = new Budget(memory, sockets);
        Budget half = one.among(2);
        assertThat(2 * half.threads()).isLessThanOrEqualTo(one.threads());
        assertThat(2 * half.clientsWithoutCrowd())
                .isLessThanOrEqualTo(one.clientsWithoutCrowd())
                .isPositive();
        assertThat(half.requests()).as("what waits needs no thread").isEqualTo(one.requests());
        assertThat(half.clientConnections())
                .as("who asks is taken")
                .isEqualTo(one.clientConnections());
    }

    /**
     * The operators' own file has the view on, the one that {@code run} reads keeps all of it off.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            "period_ms": 1000 | "period_ms": 99 | period_ms is not a whole number from 100 to 60000
            "view": true | "view": "yes" | view is neither true nor false
            "seeds": ["127.0.0.1:10821"] | "seeds": ["here"] | seeds is not ADDRESS:PORT
            "scheduler-1", "scheduler-2" | "scheduler-2", "scheduler-2" | roster has a name twice, or one that is
            "scheduler-1", "scheduler-2" | "scheduler-4", "scheduler-2" | roster has to name this instance (name)
            "floor": 0.25 | "floor": 0 | floor is not over 0 and at most 1
            "lag": 2 | "lag": 0 | lag is not a whole number from 1 to 10
            """)
    void theFleetsFileIsUsableAndNamesWhatIsNot(
            String from, String to, String message, @TempDir Path folder) throws Exception {
        assertThat(PeersConfigParser.read(Path.of("deploy/peers.json"))).isEmpty();
        String shipped = Files.readString(Path.of("deploy/fleet.json"));
        Path key =
                Files.createFile(
                        folder.resolve("peers.key"),
                        PosixFilePermissions.asFileAttribute(
                                PosixFilePermissions.fromString("rw-------")));
        Files.writeString(key, "1 " + "5a".repeat(32) + "\n");
        Network talk =
                PeersConfigParser.read(Files.writeString(folder.resolve("fleet.json"), shipped))
                        .orElseThrow()
                        .network()
                        .orElseThrow();
        assertThat(talk.keepsFleetView()).isTrue();
        assertThat(talk.swimSettings()).isEqualTo(SwimSettings.defaults());
        assertThat(talk.sharingSettings().orElseThrow())
                .isEqualTo(
                        new SharingSettings(
                                Set.of("scheduler-1", "scheduler-2", "scheduler-3"),
                                0.25,
                                2,
                                Duration.ofSeconds(1)));
        assertThat(shipped).contains(from);
        Path broken = Files.writeString(folder.resolve("broken.json"), shipped.replace(from, to));
        assertThatThrownBy(() -> PeersConfigParser.read(broken))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("broken.json: " + message);
    }

    @Test
    void goneNodeNeedsNoAddress() throws Exception {
        byte[] text =
                "{\"version\":7,\"full\":false,\"servers\":[{\"id\":\"s-2\",\"state\":\"left\"}]}"
                        .getBytes(StandardCharsets.UTF_8);
        NodeList list = new NodeListParser(List.of("a"), List.of("m")).parse(text, 0, text.length);
        assertThat(list.full()).isFalse();
        assertThat(list.entries()).extracting(NodeList.Entry::state).containsExactly(State.GONE);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            "size": 1073741824 | "size": 1073741825 | exports.0.extents
            "plan": "standard" | "plan": "gold" | exports.0.plan
            "volume": "00000000000000a1" | "volume": "a1" | exports.0.volume
            "unit_bytes": 16384 | "unit_bytes": 0 | unit_bytes
            "read_class": "job-read" | "read_class": "reads" | read_class
            "enabled": true | "enabled": 1 | enabled
            "shard": 0 | "shard": -1 | exports.0.extents.0.shard
            "exports" | "exporte" | exports
            "127.0.0.1:10811" | "node-1" | nodes.0.address
            """)
    void unusableNbdValueIsNamedByItsPath(String from, String to, String path) throws Exception {
        var settings = config("", "").settings();
        String shipped = Files.readString(Path.of("deploy/nbd.json"));
        assertThat(
                        NbdConfigParser.parse(
                                "n.json", shipped.getBytes(StandardCharsets.UTF_8), settings))
                .isEmpty();
        String text = shipped.replace("\"enabled\": false", "\"enabled\": true");
        assertThat(NbdConfigParser.parse("n.json", text.getBytes(StandardCharsets.UTF_8), settings))
                .isPresent();
        assertThat(text).contains(from);
        assertThatThrownBy(
                        () ->
                                NbdConfigParser.parse(
                                        "n.json",
                                        text.replace(from, to).getBytes(StandardCharsets.UTF_8),
                                        settings))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("n.json: " + path);
    }
}
