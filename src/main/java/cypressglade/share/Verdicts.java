package cypressglade.share;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The operators' verdicts that are in force, at most one for each subject: a last-writer-wins map.
 * Of two verdicts on a subject the later one wins, and of two issued at the same time the one whose
 * issuer has the greater name; so members that received the same verdicts, in whatever order, hold
 * the same. Only a later verdict undoes a verdict. The number of subjects is bounded. Not safe for
 * use by several threads.
 */
public final class Verdicts {
    /** More subjects than there can be nodes and members together. */
    private static final int MAX_SUBJECTS = 8192;

    /** 2^64 divided by the golden ratio, which spreads the bits of a product. */
    private static final long DIGEST_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final Comparator<Verdict> BY_PRECEDENCE =
            Comparator.comparing(Verdict::issuedAt)
                    .thenComparing(Verdict::issuer)
                    .thenComparingLong(Verdict::sequence);

    private final String self;
    private final Map<String, Verdict> bySubject = new TreeMap<>();
    private long lastSequence;
    private long rejected;

    /**
     * One decision of an operator.
     *
     * @param subject such as {@code node s-1} or {@code member scheduler-2}
     * @param action such as {@code exclude}, {@code include}, {@code drain}, {@code evacuate},
     *     {@code activate}
     * @param issuedAt by the clock of the member at which it was issued, in whole milliseconds
     * @param issuer name of that member
     * @param sequence number of the verdict among the issuer's, in increasing order
     */
    public record Verdict(
            String subject, String action, Instant issuedAt, String issuer, long sequence) {}

    /**
     * Starts with the verdicts that were in force before a restart.
     *
     * @param self name of this member
     * @param kept verdicts from this member's snapshot; empty if there is none
     */
    public Verdicts(String self, Collection<Verdict> kept) {
        this.self = self;
        kept.forEach(this::accept);
    }

    /**
     * Issues a verdict at this member. It is later than the one held on the subject, even if this
     * member's clock is behind.
     */
    public Verdict issue(String subject, String action, Instant now) {
        // Verdicts are sent in milliseconds; finer here, this member and the others would differ.
        Instant clock = now.truncatedTo(ChronoUnit.MILLIS);
        Verdict before = bySubject.get(subject);
        Instant issuedAt =
                before == null || before.issuedAt().isBefore(clock)
                        ? clock
                        : before.issuedAt().plusMillis(1);
        Verdict verdict = new Verdict(subject, action, issuedAt, self, ++lastSequence);
        accept(verdict);
        return verdict;
    }

    /**
     * Merges another member's verdict.
     *
     * @return whether it is in force now and was not before
     */
    public boolean accept(Verdict verdict) {
        // Also from before a restart: this member's sequence numbers go on from there.
        if (verdict.issuer().equals(self)) {
            lastSequence = Math.max(lastSequence, verdict.sequence());
        }
        Verdict before = bySubject.get(verdict.subject());
        if (before == null && bySubject.size() >= MAX_SUBJECTS) {
            rejected++;
            return false;
        }
        if (before != null && BY_PRECEDENCE.compare(verdict, before) <= 0) {
            return false;
        }
        bySubject.put(verdict.subject(), verdict);
        return true;
    }

    /** The verdict in force on a subject. */
    public Optional<Verdict> current(String subject) {
        return Optional.ofNullable(bySubject.get(subject));
    }

    /** All verdicts in force, by subject, to send to other members and for the snapshot. */
    public List<Verdict> all() {
        return List.copyOf(bySubject.values());
    }

    /**
     * A hash of the verdicts in force: equal at members that hold the same, and almost certainly
     * different otherwise.
     */
    public long digest() {
        long digest = 1;
        for (Verdict verdict : bySubject.values()) {
            long subjectAndTime =
                    verdict.subject().hashCode() * 31L + verdict.issuedAt().toEpochMilli();
            digest = digest * DIGEST_MULTIPLIER + subjectAndTime * 31 + verdict.issuer().hashCode();
        }
        return digest;
    }

    /** Number of verdicts rejected because there was no room for another subject. */
    public long rejected() {
        return rejected;
    }
}
