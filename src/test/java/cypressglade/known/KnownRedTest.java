package cypressglade.known;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The list of known failures stays short, and names tests that there are. */
class KnownRedTest {
    private static final int MOST_LINES = 3;
    private static final Path TESTS = Path.of("src/test/java");

    @Test
    void theListHasThreeLinesAtMost() throws IOException {
        assertThat(KnownRed.lines()).hasSizeLessThanOrEqualTo(MOST_LINES);
    }

    @Test
    void eachLineNamesATestThatThereIs() throws IOException {
        for (KnownRed.Line line : KnownRed.lines()) {
            int dot = line.test().indexOf('.');
            try (var files = Files.walk(TESTS)) {
                Path file =
                        files.filter(path -> path.endsWith(line.test().substring(0, dot) + ".java"))
                                .findFirst()
                                .orElseThrow(() -> new AssertionError("no class of " + line));
                assertThat(Files.readString(file))
                        .contains("void " + line.test().substring(dot + 1) + "(");
            }
            assertThat(line.cause()).isNotEmpty();
            assertThat(line.issue()).matches("issue \\d+");
        }
    }

    @Test
    void aLineWithoutItsThreePartsIsNoLine() {
        assertThat(KnownRed.Line.parse("A.b | why | issue 1"))
                .isEqualTo(new KnownRed.Line("A.b", "why", "issue 1"));
        assertThatThrownBy(() -> KnownRed.Line.parse("A.b | why"))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
