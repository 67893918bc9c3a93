package cypressglade.cli;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileChannel.MapMode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/**
 * A file of a fixed size that the processes of an upgrade map into their memory, filled with zeros
 * at first. It is written whole before it is mapped, as a page without a block on the disk would
 * end the process at its first use.
 */
final class SharedIdFile {
    private static final System.Logger LOG = System.getLogger(SharedIdFile.class.getName());

    private final Path file;
    private final int bytes;
    private boolean hasFailed;

    SharedIdFile(Path file, int bytes) {
        this.file = file;
        this.bytes = bytes;
    }

    /** Maps the file; empty where the disk refuses that now. Only the first refusal is logged. */
    Optional<ByteBuffer> map() {
        try {
            Files.createDirectories(file.getParent());
            try (FileChannel channel =
                    FileChannel.open(
                            file,
                            StandardOpenOption.CREATE,
                            StandardOpenOption.READ,
                            StandardOpenOption.WRITE)) {
                fill(channel);
                return Optional.of(channel.map(MapMode.READ_WRITE, 0, bytes));
            }
        } catch (IOException unusable) {
            if (!hasFailed) {
                hasFailed = true;
                LOG.log(Level.WARNING, "ids are not shared with another process: {0}", unusable);
            }
            return Optional.empty();
        }
    }

    /** Appends zeros up to the size; what is there, another process may be using. */
    private void fill(FileChannel channel) throws IOException {
        ByteBuffer zeros = ByteBuffer.allocate(bytes);
        for (long size = channel.size(); size < bytes; size = channel.size()) {
            channel.write(zeros.clear().limit((int) (bytes - size)), size);
        }
    }
}
