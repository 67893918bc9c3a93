package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A chunk's size is read as RFC 9112 has it, and nothing else is taken for one. */
class ChunkSizeParserTest {
    private final ChunkSizeParser parser = new ChunkSizeParser();

    private void feed(String line) {
        parser.reset();
        for (byte next : line.getBytes(StandardCharsets.ISO_8859_1)) {
            parser.feed(next & 0xff);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "0, 0",
        "a, 10",
        "F00, 3840",
        "fffffff, 268435455",
        "0000001, 1",
        "00000001, 2147483647",
        "123456789abcdef0123, 2147483647",
        "' 1f ', 31",
        "1;name=value, 1",
        "'2 ;\"x;y\"', 2",
    })
    void sizesAreRead(String line, int size) {
        feed(line + "\r");
        assertThat(parser.isValid()).isTrue();
        assertThat(parser.value()).isEqualTo(size);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", ";", " ", "g", "-1", "+1", "0x1", "1 2", "1\r2", "\u00b2", "1_", "@"})
    void whatIsNoSizeIsNotTakenForOne(String line) {
        feed(line);
        assertThat(parser.isValid()).isFalse();
    }

    /** Guards against a line that is read with what was left of the one before. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "7;y", "123456789", "1 "})
    void eachLineStartsAnew(String before) {
        feed(before);
        feed("5");
        assertThat(parser.isValid()).isTrue();
        assertThat(parser.value()).isEqualTo(5);
    }
}
