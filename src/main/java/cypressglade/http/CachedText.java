package cypressglade.http;

import cypressglade.core.MonotonicClock;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;

/**
 * A text that is made anew once it is older than a moment, however often it is asked for. Not safe
 * for use by several threads.
 */
final class CachedText {
    private static final Duration MAX_AGE = Duration.ofMillis(20);

    private final Supplier<String> source;
    private Instant madeAt = Instant.MIN;
    private byte[] text = {};

    CachedText(Supplier<String> source) {
        this.source = source;
    }

    /** The text in UTF-8; not to be changed. */
    byte[] bytes() {
        Instant now = MonotonicClock.now();
        if (now.minus(MAX_AGE).isAfter(madeAt)) {
            text = source.get().getBytes(StandardCharsets.UTF_8);
            madeAt = now;
        }
        return text;
    }
}
