package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Parses responses of nodes and of discovery, split at any byte. */
class ResponseParserTest {
    private final StringBuilder body = new StringBuilder();
    private final ResponseParser parser =
            new ResponseParser(
                    fragment -> body.append(StandardCharsets.ISO_8859_1.decode(fragment)), 10_000);

    private static ByteBuffer bytes(String text) {
        return ResponseParser.ascii(text.replace("~", "\r\n"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            HTTP/1.1 200 OK~Content-Length: 4~~data | 200 | data | true | false
            HTTP/1.1 200~content-length:0~~ | 200 | '' | true | false
            HTTP/1.1 503 Busy~X-Never-Ran: 1~Content-Length: 0~~ | 503 | '' | true | true
            HTTP/1.1 503 Busy~X-Never-Ran: 0~Content-Length: 0~~ | 503 | '' | true | false
            HTTP/1.1 200 OK~Connection: close~Content-Length: 1~~x | 200 | x | false | false
            HTTP/1.0 200 OK~Content-Length: 1~~x | 200 | x | false | false
            HTTP/1.1 200 OK~Transfer-Encoding: chunked~~3~abc~2;e=1~de~0~T: 1~~ | 200 | abcde | true | false
            HTTP/1.1 100 Continue~~HTTP/1.1 204 No~~ | 204 | '' | true | false
            HTTP/1.1 200 OK~Endpoint-Load-Metrics: \1{=\u00e9~Content-Length: 1~~x | 200 | x | true | false
            HTTP/1.1 103 A~Content-Length: 9~X-Never-Ran: 1~~HTTP/1.1 200 B~Content-Length: 1~~x | 200 | x | true | false
            """)
    void completeResponseIsParsedWhereverItIsSplit(
            String text, int status, String data, boolean reusable, boolean neverRan)
            throws IOException {
        ByteBuffer all = bytes(text);
        while (all.remaining() > 1) {
            assertThat(parser.feed(all.slice(all.position(), 1)))
                    .as("at " + all.position())
                    .isFalse();
            all.get();
        }
        assertThat(parser.feed(all)).isTrue();
        assertThat(parser.status()).isEqualTo(status);
        assertThat(body).hasToString(data);
        assertThat(parser.isReusable()).isEqualTo(reusable);
        assertThat(parser.neverRan()).isEqualTo(neverRan);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "garbage~",
                "HTTP/1.1 2000 OK~",
                "HTTP/2 200 OK~",
                "HTTP/1.1 200 OK~: x~",
                "HTTP/1.1 200 OK~Content-Length: -1~",
                "HTTP/1.1 200 OK~Content-Length: x~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~zz~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~abc~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~7fffffff~",
                "x",
                "HTTP/2",
                "HTTP/1.1 200 OK~\u0001: x~",
                "HTTP/1.1 200 OK~na me: x~",
                "HTTP/1.1 200 OK~Content-Length: 3000000000~",
                "HTTP/1.1 200 OK~Content-Length: 1~Content-Length: 2~",
                "HTTP/1.1 200 OK~Content-Length: +1~",
                "HTTP/1.1 200 OK~Content-Length: 1~Transfer-Encoding: chunked~",
                "HTTP/1.1 200 OK~~",
                "HTTP/1.1 101 X~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~Content-Length: 1~",
                "HTTP/1.1 200 OK~Transfer-Encoding: x~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~ab",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~x"
            })
    void malformedResponseIsRejected(String text) {
        assertThatThrownBy(() -> parser.feed(bytes(text))).isInstanceOf(IOException.class);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            HTTP/1.1 200 OK~Connection: close~~all of it | true
            HTTP/1.1 200 OK~Content-Length: 4~~dat | false
            HTTP/1.1 200 OK~Transfer-Encoding: chunked~~3~abc~ | false
            HTTP/1.1 200 OK~Content-Le | false
            """)
    void endOfStreamCompletesOnlyAResponseWithoutALength(String text, boolean complete)
            throws IOException {
        assertThat(parser.feed(bytes(text))).isFalse();
        assertThat(parser.readEndOfStream()).isEqualTo(complete);
        assertThat(parser.isReusable()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "a~b:"})
    void overlongHeadIsRejected(String filler) {
        assertThatThrownBy(() -> parser.feed(bytes("HTTP/1.1 200 OK~X: " + filler.repeat(20_000))))
                .isInstanceOf(IOException.class);
    }
}
