package cypressglade.nbd;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.Status;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Parses replies to a read of 4 bytes at offset 16 with cookie 7, split at any byte. */
class ReplyParserTest {
    private static final String SIMPLE = "67446698 %s 0000000000000007 ";
    private static final String CHUNK = "668e33ef %s %s 0000000000000007 ";

    private static final Plan PLAN = new Plan("basic", 9, 9, 1, 1, 0, 0, 0);

    private final ReplyParser parser =
            new ReplyParser(
                    NodeCommand.read(
                            new NbdConfig.Export(
                                    "disk", 1, PLAN, 64, List.of(new NbdConfig.Extent(64, 0))),
                            16,
                            4),
                    7);

    private static ByteBuffer bytes(String text) {
        String hex =
                text.replace("S0", SIMPLE.formatted("00000000"))
                        .replace("S5", SIMPLE.formatted("00000005"))
                        .replace("DONE ", CHUNK.formatted("0001", "%"))
                        .replace("MORE ", CHUNK.formatted("0000", "%"));
        for (String type : List.of("8001", "8002", "0000", "0001", "0002", "0009")) {
            hex = hex.replaceAll("%( 0000000000000007 )=" + type, type + "$1");
        }
        return ByteBuffer.wrap(HexFormat.of().parseHex(hex.replace(" ", "")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            S0 0a0b0c0d | OK | 0a0b0c0d
            S5 | ERROR | 00000000
            DONE =0001 0000000c 0000000000000010 0a0b0c0d | OK | 0a0b0c0d
            MORE =0001 0000000a 0000000000000012 0c0d DONE =0001 0000000a 0000000000000010 0a0b | OK | 0a0b0c0d
            MORE =0002 0000000c 0000000000000010 00000003 DONE =0001 00000009 0000000000000013 0d | OK | 0000000d
            MORE =0001 0000000c 0000000000000010 0a0b0c0d DONE =0000 00000000 | OK | 0a0b0c0d
            DONE =8001 00000006 00000005 0000 | ERROR | 00000000
            MORE =8002 00000010 00000005 0002 6f6f 0000000000000010 DONE =0000 00000000 | ERROR | 00000000
            """)
    void completeReplyIsParsedHoweverItIsSplit(String text, Status status, String data)
            throws IOException {
        ByteBuffer all = bytes(text);
        while (all.remaining() > 1) {
            assertThat(parser.feed(all.slice(all.position(), 1))).isEmpty();
            all.get();
        }
        assertThat(parser.feed(all)).isEqualTo(Optional.of(status));
        assertThat(HexFormat.of().formatHex(parser.data())).isEqualTo(data);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "12345678",
                "67446698 00000000 0000000000000008",
                "DONE =0001 0000000c 0000000000000011 0a0b0c0d",
                "DONE =0001 0000000c 000000000000000f 0a0b0c0d",
                "DONE =0001 7fffffff",
                "DONE =0001 ffffffff",
                "DONE =0001 00000008 0000000000000010",
                "DONE =0002 0000000c 0000000000000010 ffffffff",
                "DONE =0002 0000000c 0000000000000010 00000005",
                "MORE =0001 0000000a 0000000000000010 0a0b"
                        + " MORE =0001 0000000a 0000000000000011 0a0b",
                "DONE =0001 0000000a 0000000000000010 0a0b",
                "DONE =0000 00000000",
                "DONE =0000 00000001 00",
                "DONE =0009 00000000"
            })
    void invalidReplyThrows(String text) {
        assertThatThrownBy(() -> parser.feed(bytes(text))).isInstanceOf(IOException.class);
    }
}
