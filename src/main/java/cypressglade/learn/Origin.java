package cypressglade.learn;

/**
 * Who found something out by answers of its own. The life is drawn by chance at each start, so that
 * what an instance said before its restart is hearsay to it, and what comes back of its present
 * life is an echo.
 */
public record Origin(String name, long generation) {}
