package cypressglade.core;

/** One attempt: when and where it went, the units that count for it, and its predicted time. */
record SentAttempt(long at, TrackedNode node, PendingRequest held, double span, double expected) {}
