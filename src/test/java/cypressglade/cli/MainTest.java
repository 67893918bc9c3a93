package cypressglade.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The command line. */
class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int run(String line) {
        return Main.run(line.isEmpty() ? new String[0] : line.split(" "), InputStream.nullInputStream(),
                new PrintStream(out), new PrintStream(errors));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            '' | no command
            fly | fly
            serve --what | --what
            check-config --config no/such.json | no/such.json
            serve --config no/such.json | no/such.json
            check-config --config pom.xml | pom.xml
            """)
    void wrongUseExitsWithTwoAndSaysWhy(String line, String why) {
        assertThat(run(line)).isEqualTo(2);
        assertThat(errors.toString()).startsWith("cypressglade: ").contains(why);
    }

    @Test
    void versionAndAnEmptyAdapterRunExitWithZero() {
        assertThat(run("version")).isZero();
        assertThat(out.toString()).startsWith("cypressglade ");
        out.reset();
        assertThat(run("adapter")).isZero();
        assertThat(out.size()).isZero();
    }
}
