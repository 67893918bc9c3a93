package cypressglade.nbd;

/**
 * Constants of the NBD protocol, under the names that its specification ({@code doc/proto.md} of
 * the NetworkBlockDevice project) gives them without the prefix {@code NBD_}. Only what this
 * program sends or recognizes is listed. All integers are big-endian on the wire.
 */
final class NbdProtocol {
    // Magic numbers.
    static final long NBDMAGIC = 0x4e42444d41474943L;
    static final long IHAVEOPT = 0x49484156454f5054L;
    static final long OPTION_REPLY_MAGIC = 0x3e889045565a9L;
    static final int REQUEST_MAGIC = 0x25609513;
    static final int SIMPLE_REPLY_MAGIC = 0x67446698;
    static final int STRUCTURED_REPLY_MAGIC = 0x668e33ef;

    // Handshake flags of the server; the client flags have the same bits.
    static final int FLAG_FIXED_NEWSTYLE = 1;
    static final int FLAG_NO_ZEROES = 1 << 1;

    // Options.
    static final int OPT_EXPORT_NAME = 1;
    static final int OPT_ABORT = 2;
    static final int OPT_LIST = 3;
    static final int OPT_INFO = 6;
    static final int OPT_GO = 7;
    static final int OPT_STRUCTURED_REPLY = 8;

    // Option reply types; the highest bit marks errors.
    static final int REP_ACK = 1;
    static final int REP_SERVER = 2;
    static final int REP_INFO = 3;
    static final int REP_ERR_UNSUP = 0x80000001;
    static final int REP_ERR_INVALID = 0x80000003;
    static final int REP_ERR_UNKNOWN = 0x80000006;
    static final int REP_ERR_SHUTDOWN = 0x80000007;
    static final int REP_ERR_TOO_BIG = 0x80000009;

    // Information types in replies to OPT_INFO and OPT_GO.
    static final int INFO_EXPORT = 0;
    static final int INFO_BLOCK_SIZE = 3;

    // Transmission flags.
    static final int FLAG_HAS_FLAGS = 1;
    static final int FLAG_SEND_FLUSH = 1 << 2;
    static final int FLAG_SEND_DF = 1 << 7;

    // Command types and command flags.
    static final int CMD_READ = 0;
    static final int CMD_WRITE = 1;
    static final int CMD_DISC = 2;
    static final int CMD_FLUSH = 3;
    static final int CMD_FLAG_DF = 1 << 2;

    // Structured reply flags and chunk types.
    static final int REPLY_FLAG_DONE = 1;
    static final int REPLY_NONE = 0;
    static final int REPLY_OFFSET_DATA = 1;
    static final int REPLY_OFFSET_HOLE = 2;
    static final int REPLY_ERROR = 0x8001;
    static final int REPLY_ERROR_OFFSET = 0x8002;

    // Error values.
    static final int EIO = 5;
    static final int EINVAL = 22;
    static final int ENOSPC = 28;
    static final int ENOTSUP = 95;
    static final int ESHUTDOWN = 108;

    /** Magic, option magic and handshake flags that a server sends first. */
    static final int GREETING_BYTES = 18;

    // Lengths of fixed parts of messages.
    static final int OPTION_HEADER_BYTES = 16;
    static final int OPTION_REPLY_HEADER_BYTES = 20;
    static final int REQUEST_HEADER_BYTES = 28;
    static final int SIMPLE_REPLY_HEADER_BYTES = 16;
    static final int CHUNK_HEADER_BYTES = 20;

    /** Export size and transmission flags in the reply to {@link #OPT_EXPORT_NAME}. */
    static final int EXPORT_NAME_REPLY_BYTES = 10;

    /** Zero bytes that follow that reply unless {@link #FLAG_NO_ZEROES} was negotiated. */
    static final int EXPORT_NAME_PADDING_BYTES = 124;

    /** Longest string, such as an export name, that the protocol allows. */
    static final int MAX_NAME_BYTES = 4096;

    private NbdProtocol() {}
}
