package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Parts of an answer are passed on together, in their order. */
class PassedPartsTest {
    private final PassedParts parts = new PassedParts();

    private void add(String text) {
        parts.add(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
    }

    private String take() {
        return StandardCharsets.US_ASCII.decode(parts.take().orElseThrow()).toString();
    }

    @Test
    void partsOfOneReadAreJoinedInTheirOrderAndTakenOnce() {
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            add(i + " ");
            expected.append(i).append(' ');
        }
        assertThat(take()).isEqualTo(expected.toString());
        assertThat(parts.take()).isEmpty();
        add("one");
        assertThat(take()).isEqualTo("one");
        add("one");
        add("two");
        assertThat(take()).isEqualTo("onetwo");
        assertThat(parts.take()).isEmpty();
    }
}
