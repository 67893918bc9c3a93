package cypressglade.storm;

import java.time.Duration;
import java.time.Instant;

/** How much comes in a second, with what came earlier counting less the older it is. */
final class Rate {
    private final double memoryNs;
    private double sum;
    private Instant at;

    /** A rate of nothing, in which what came {@code memory} ago counts by 1/e. */
    Rate(Duration memory, Instant now) {
        memoryNs = memory.toNanos();
        at = now;
    }

    void add(Instant now, double amount) {
        sum = kept(now) + amount;
        at = now;
    }

    double perSecond(Instant now) {
        return kept(now) / memoryNs * 1e9;
    }

    private double kept(Instant now) {
        return sum * Math.exp(-Math.max(0, Duration.between(at, now).toNanos()) / memoryNs);
    }
}
