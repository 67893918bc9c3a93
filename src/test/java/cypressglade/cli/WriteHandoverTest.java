package cypressglade.cli;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.storm.OtherProcesses.Findings;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the processes of a scheduler find of each other's writes; each instance is a process. */
class WriteHandoverTest {
    @TempDir Path folder;

    private static void assertNothingFound(Findings findings) {
        assertThat(findings.mayServe()).isFalse();
        assertThat(findings.hasEndedUnknown()).isFalse();
        assertThat(findings.handedOver()).isEmpty();
    }

    @Test
    void firstProcessOfADirectoryFindsNothing() {
        assertNothingFound(new WriteHandover(folder.resolve("new")).look());
    }

    /** Guards against two processes that do not know of each other while both serve. */
    @Test
    void processesThatLiveFindEachOther() {
        WriteHandover first = new WriteHandover(folder);
        WriteHandover second = new WriteHandover(folder);
        assertThat(first.look().mayServe()).isTrue();
        assertThat(second.look().mayServe()).isTrue();
    }

    /** Guards against a process that is killed and counts as one that has stopped. */
    @Test
    void processThatDiesIsFoundOnce() {
        WriteHandover first = new WriteHandover(folder);
        WriteHandover second = new WriteHandover(folder);
        first.release();
        Findings findings = second.look();
        assertThat(findings.mayServe()).isFalse();
        assertThat(findings.hasEndedUnknown()).isTrue();
        assertNothingFound(second.look());
    }

    /** Guards against a death that nobody tells of, as a third process has removed its file. */
    @Test
    void deathThatAThirdProcessHasTakenOverIsFound() {
        WriteHandover first = new WriteHandover(folder);
        WriteHandover second = new WriteHandover(folder);
        assertThat(second.look().mayServe()).isTrue();
        WriteHandover third = new WriteHandover(folder);
        first.release();
        assertThat(third.look().hasEndedUnknown()).isTrue();
        assertThat(second.look().hasEndedUnknown()).isTrue();
    }

    /** Guards against files of an earlier program that are taken for none. */
    @Test
    void snapshotOfAnEarlierProgramCountsAsADeath() throws Exception {
        Files.write(folder.resolve("doubts.snap"), new byte[] {1});
        WriteHandover process = new WriteHandover(folder);
        assertThat(process.look().hasEndedUnknown()).isTrue();
        assertNothingFound(process.look());
    }

    /** Guards against a directory that cannot be read and counts as an empty one. */
    @Test
    void otherProcessesMayServeWhereTheDirectoryCannotBeRead() throws Exception {
        Path file = Files.createFile(folder.resolve("file"));
        WriteHandover process = new WriteHandover(file);
        assertThat(process.look().mayServe()).isTrue();
        Files.delete(file);
        assertNothingFound(process.look());
    }
}
