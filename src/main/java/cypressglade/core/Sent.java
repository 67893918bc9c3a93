package cypressglade.core;

/** One attempt: when and where it went, the units that count for it, and its predicted time. */
record Sent(long at, Node node, Held held, double span, double expected) {}
