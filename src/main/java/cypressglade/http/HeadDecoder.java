package cypressglade.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Collects the bytes of one request head, which may arrive split at any byte, and parses them once
 * the head is complete. Until then it holds nothing but the bytes.
 */
final class HeadDecoder {
    /** Longest head; a longer one is answered with 431. */
    static final int MAX_HEAD_BYTES = 16 * 1024;

    private static final int INITIAL_CAPACITY_BYTES = 512;
    private static final byte[] NONE = {};
    private static final Pattern REQUEST_LINE =
            Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}) ([!-~]+) HTTP/([0-9])\\.([0-9])");
    private static final Pattern AUTHORITY = Pattern.compile("^[A-Za-z][A-Za-z0-9+.-]*://[^/?]*");
    private static final Pattern FIELD_NAME = Pattern.compile("[-!#$%&'*+.^_`|~0-9A-Za-z]+");

    private byte[] bytes = NONE;
    private int size;
    private int lineStart;

    /** Bytes of heap that are allocated. */
    int capacity() {
        return bytes.length;
    }

    /** Forgets what has arrived. */
    void reset() {
        bytes = NONE;
        size = 0;
        lineStart = 0;
    }

    /**
     * Takes the next input, up to the end of the head. Empty lines before the request line are
     * skipped (RFC 9112, section 2.2).
     *
     * @return the head, once it is complete
     * @throws RejectedRequestException where it is too long or malformed
     */
    Optional<RequestHead> feed(ByteBuffer in) throws RejectedRequestException {
        while (in.hasRemaining()) {
            byte next = in.get();
            if (size == 0 && (next == '\r' || next == '\n')) {
                continue;
            }
            append(next);
            if (next == '\n') {
                if (isEmptyLine()) {
                    RequestHead head = parse();
                    reset();
                    return Optional.of(head);
                }
                lineStart = size;
            }
        }
        return Optional.empty();
    }

    private void append(byte next) throws RejectedRequestException {
        if (size == MAX_HEAD_BYTES) {
            throw new RejectedRequestException(
                    HttpStatus.HEAD_TOO_LARGE, "the head is over 16 KiB");
        }
        if (size == bytes.length) {
            bytes =
                    Arrays.copyOf(
                            bytes,
                            Math.min(
                                    MAX_HEAD_BYTES,
                                    Math.max(INITIAL_CAPACITY_BYTES, 2 * bytes.length)));
        }
        bytes[size++] = next;
    }

    private boolean isEmptyLine() {
        int length = size - lineStart;
        return length == 1 || length == 2 && bytes[lineStart] == '\r';
    }

    private RequestHead parse() throws RejectedRequestException {
        List<String> lines = lines();
        Matcher line = REQUEST_LINE.matcher(lines.get(0));
        if (!line.matches()) {
            throw new RejectedRequestException(HttpStatus.BAD_REQUEST, "no HTTP request line");
        }
        if (!line.group(3).equals("1")) {
            throw new RejectedRequestException(HttpStatus.VERSION_NOT_SUPPORTED, "not HTTP/1");
        }
        String target = AUTHORITY.matcher(line.group(2)).replaceFirst("");
        int question = target.indexOf('?');
        return new RequestHead(
                line.group(1),
                question < 0 ? target : target.substring(0, question),
                question < 0 ? "" : target.substring(question + 1),
                Integer.parseInt(line.group(4)),
                parseFields(lines.subList(1, lines.size())));
    }

    /** Splits the head into lines, without their ends; continuation lines join the line before. */
    private List<String> lines() throws RejectedRequestException {
        List<String> lines = new ArrayList<>();
        String text = new String(bytes, 0, lineStart, StandardCharsets.ISO_8859_1);
        for (String line : text.split("\n")) {
            String content = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
            if (content.indexOf('\r') >= 0 || content.indexOf('\0') >= 0) {
                throw new RejectedRequestException(
                        HttpStatus.BAD_REQUEST, "a control character in the head");
            }
            boolean continues = content.startsWith(" ") || content.startsWith("\t");
            if (continues && lines.size() > 1) {
                lines.add(lines.remove(lines.size() - 1) + " " + content.trim());
            } else {
                lines.add(content);
            }
        }
        return lines;
    }

    private static Map<String, List<String>> parseFields(List<String> lines)
            throws RejectedRequestException {
        Map<String, List<String>> fields = new HashMap<>();
        for (String line : lines) {
            int colon = line.indexOf(':');
            if (colon < 0 || !FIELD_NAME.matcher(line.substring(0, colon)).matches()) {
                throw new RejectedRequestException(
                        HttpStatus.BAD_REQUEST, "a header has no usable name");
            }
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            if (RequestHead.isUsed(name)) {
                fields.computeIfAbsent(name, any -> new ArrayList<>(1))
                        .add(line.substring(colon + 1).trim());
            }
        }
        return fields;
    }
}
