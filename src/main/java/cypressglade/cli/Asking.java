package cypressglade.cli;

import cypressglade.config.ConfigException;
import java.io.IOException;
import java.io.PrintStream;

/** A command that prints something and ends. */
interface Asking {
    void run(PrintStream out) throws ConfigException, IOException;
}
