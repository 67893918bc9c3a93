package cypressglade.core;

/**
 * One attempt of a request at a node.
 *
 * @param sentAt when it was sent, in microseconds
 * @param pending the request
 * @param effectiveUnits the units that count for its latency
 * @param expectedUs its predicted latency in microseconds
 */
record SentAttempt(
        long sentAt,
        TrackedNode node,
        PendingRequest pending,
        double effectiveUnits,
        double expectedUs) {}
