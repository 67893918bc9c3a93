package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.config.Config;
import cypressglade.core.MonotonicClock;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
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
        RequestHead head =
                new RequestHead(
                        "GET",
                        "/job-read/0000000000000001/0000000000000002",
                        "",
                        1,
                        Map.of(
                                RequestHead.TIER, List.of("standard"),
                                RequestHead.TRACE_ID, List.of("1"),
                                RequestHead.EXPIRES_IN_MS, List.of(expiresInMillis),
                                RequestHead.IO_INFO, List.of("units=1,shard=0,hosts=1")));
        Instant now = MonotonicClock.now();
        assertThat(
                        Duration.between(
                                now,
                                new RequestParser(
                                                Config.read(Path.of("deploy/config.example.json"))
                                                        .settings())
                                        .parse(head, now)
                                        .expiry()))
                .isEqualTo(Duration.ofMillis(usableMillis));
    }
}
