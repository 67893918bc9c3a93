package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.config.Config;
import cypressglade.core.MonotonicClock;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The part of a client's time that is available for its request. */
class RequestParserTest {
    /**
     * Guards against a margin that leaves clients with a short time nothing, and against times
     * beyond the longest deadline of any class.
     */
    @ParameterizedTest
    @CsvSource({"900, 870", "240, 210", "64, 56", "8, 7", "0, 0", "3600000, 970"})
    void marginIsASmallPartOfTheTime(String expiresInMillis, long usableMillis) throws Exception {
        HeaderMap headers =
                new HeaderMap()
                        .put(new HttpString("Tier"), "standard")
                        .put(RequestParser.TRACE_ID, "1")
                        .put(new HttpString("X-Expires-In-Ms"), expiresInMillis)
                        .put(new HttpString("IO-Info"), "units=1,shard=0,hosts=1");
        Instant now = MonotonicClock.now();
        assertThat(
                        Duration.between(
                                now,
                                new RequestParser(
                                                Config.read(Path.of("deploy/config.example.json"))
                                                        .settings())
                                        .parse(
                                                "GET",
                                                "/job-read/0000000000000001/0000000000000002",
                                                headers,
                                                now)
                                        .expiry()))
                .isEqualTo(Duration.ofMillis(usableMillis));
    }
}
