package cypressglade.net;

import java.time.Duration;

/**
 * One callback that held the I/O thread for long, whether by its own work or as the whole process
 * stood still meanwhile.
 *
 * @param owner whose work it was: a class, with the remote address where it was a connection's
 * @param duration from its start to its end
 * @param bytesRead input that it read, in bytes
 */
public record LoopHold(String owner, Duration duration, long bytesRead) {}
