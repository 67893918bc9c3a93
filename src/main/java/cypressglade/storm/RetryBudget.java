package cypressglade.storm;

import java.time.Duration;
import java.time.Instant;

/**
 * Token bucket that limits retries without a slot, one token each. Original requests and served
 * requests add tokens, and one token a second is added in any case, so that a scope that receives
 * only retries is never shut completely. Not safe for use by several threads.
 */
final class RetryBudget {
    private static final double INITIAL_TOKENS = 1;
    private static final double REFILL_TOKENS_PER_SECOND = 1;
    private static final double MAX_TOKENS = 20;

    private double tokens = INITIAL_TOKENS;
    private Instant refilledAt;

    RetryBudget(Instant now) {
        refilledAt = now;
    }

    /** Adds {@code amount} tokens, at most one at a time. */
    void deposit(double amount) {
        tokens = Math.min(MAX_TOKENS, tokens + Math.min(1, amount));
    }

    /** Takes one token; returns false where there is none. */
    boolean tryWithdraw(Instant now) {
        tokens =
                Math.min(
                        MAX_TOKENS,
                        tokens
                                + REFILL_TOKENS_PER_SECOND
                                        * Duration.between(refilledAt, now).toNanos()
                                        / 1e9);
        refilledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
