package cypressglade.http;

import cypressglade.core.Fnv1a;
import cypressglade.core.IoRequest;
import cypressglade.core.Micros;
import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.Settings;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Translates the head of a client's request into an {@link IoRequest}, and rejects what is
 * malformed or could be read in two ways. Holds the settings that were in force when it was made.
 * Immutable.
 */
final class RequestParser {
    private static final Pattern PATH_PATTERN = Pattern.compile("/([^/]+)/([^/]+)/([^/]+)");
    private static final Pattern HEX_NUMBER = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Pattern IO_INFO_ITEM =
            Pattern.compile("(units|shard|hosts)=(-?[0-9.]{1,12})");
    private static final Pattern CONTENT_LENGTH_VALUE = Pattern.compile("[0-9]{1,18}");
    private static final Pattern PRINTABLE_TOKEN = Pattern.compile("[!-~]{1,128}");

    /**
     * Upper bound of the time that is held back from a client's, so that the last byte of the
     * response arrives before the client stops waiting.
     */
    private static final Duration MAX_MARGIN = Duration.ofMillis(30);

    /**
     * The margin is no more than this part of the client's time, as otherwise a client with a short
     * time would lose half of it.
     */
    private static final int MARGIN_DIVISOR = 8;

    /** Largest value that is accepted in the header X-Expires-In-Ms. */
    private static final long MAX_EXPIRES_IN_MILLIS = Duration.ofHours(1).toMillis();

    private final Settings settings;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Plan> plans = new HashMap<>();
    private final long maxDeadlineMillis;

    RequestParser(Settings settings) {
        this.settings = settings;
        settings.classes().forEach(type -> classes.put(type.name(), type));
        settings.plans().forEach(plan -> plans.put(plan.name(), plan));
        maxDeadlineMillis =
                settings.classes().stream()
                        .map(RequestClass::deadlineUs)
                        .map(Micros::toDuration)
                        .mapToLong(Duration::toMillis)
                        .max()
                        .orElse(MAX_EXPIRES_IN_MILLIS);
    }

    /** The longest deadline of any class. */
    Duration maxDeadline() {
        return Duration.ofMillis(maxDeadlineMillis);
    }

    /**
     * Parses the head of a request.
     *
     * @param arrived when the client's time started
     * @throws RejectedRequestException where the request is not valid
     */
    IoRequest parse(RequestHead head, Instant arrived) throws RejectedRequestException {
        String method = head.method();
        Matcher pathMatcher = PATH_PATTERN.matcher(head.path());
        if (!pathMatcher.matches() || !classes.containsKey(pathMatcher.group(1))) {
            throw new RejectedRequestException(HttpStatus.NOT_FOUND, "no such path");
        }
        if (!method.equals("GET") && !method.equals("PUT")) {
            throw new RejectedRequestException(
                    HttpStatus.METHOD_NOT_ALLOWED, "neither GET nor PUT");
        }
        Plan plan = plans.get(singleHeader(head, RequestHead.TIER));
        if (plan == null) {
            throw new RejectedRequestException(HttpStatus.BAD_REQUEST, "Tier names no plan");
        }
        if (!PRINTABLE_TOKEN.matcher(singleHeader(head, RequestHead.TRACE_ID)).matches()) {
            throw new RejectedRequestException(HttpStatus.BAD_REQUEST, "X-Trace-Id is not usable");
        }
        checkFraming(head);
        if (head.count(RequestHead.IDEMPOTENCY_KEY)
                > 1) { // which one a node deduplicates by is unclear
            throw new RejectedRequestException(
                    HttpStatus.BAD_REQUEST, RequestHead.IDEMPOTENCY_KEY + " is there twice");
        }
        Map<String, Float> ioInfo = parseIoInfo(singleHeader(head, RequestHead.IO_INFO));
        // A request stays open no longer than the longest deadline of any class.
        long remainingMillis =
                Math.min(
                        maxDeadlineMillis,
                        parseExpiryMillis(singleHeader(head, RequestHead.EXPIRES_IN_MS)));
        return new IoRequest(
                ioInfo.get("shard").intValue(),
                settings.rules(classes.get(pathMatcher.group(1)), plan),
                ioInfo.get("hosts").intValue(),
                "1".equals(head.first(RequestHead.CLIENT_RETRY)),
                method.equals("PUT"),
                parseHex(pathMatcher.group(2)),
                parseHex(pathMatcher.group(3)),
                ioInfo.get("units"),
                arrived.plusMillis(
                        remainingMillis
                                - Math.min(
                                        MAX_MARGIN.toMillis(), remainingMillis / MARGIN_DIVISOR)),
                hashKey(head.first(RequestHead.IDEMPOTENCY_KEY)),
                Optional.of(arrived));
    }

    /**
     * Hashes an idempotency key by 64-bit FNV-1a; 0 stands for no key, and is never a key's hash.
     */
    private static long hashKey(String key) {
        if (key == null) {
            return 0;
        }
        long hash = Fnv1a.hash(key);
        return hash == 0 ? 1 : hash;
    }

    /**
     * Rejects requests whose body length is ambiguous, as one that can be read in two ways may hide
     * another (request smuggling; RFC 9112, section 6.3).
     */
    private static void checkFraming(RequestHead head) throws RejectedRequestException {
        boolean isChunked = head.count(RequestHead.TRANSFER_ENCODING) > 0;
        boolean hasLength = head.count(RequestHead.CONTENT_LENGTH) > 0;
        if (isChunked
                        && (hasLength
                                || !"chunked"
                                        .equalsIgnoreCase(
                                                singleHeader(head, RequestHead.TRANSFER_ENCODING)))
                || hasLength
                        && !CONTENT_LENGTH_VALUE
                                .matcher(singleHeader(head, RequestHead.CONTENT_LENGTH))
                                .matches()) {
            throw new RejectedRequestException(
                    HttpStatus.BAD_REQUEST, "the body's end is not plain");
        }
        if (head.method().equals("GET")
                && (isChunked
                        || hasLength && !"0".equals(head.first(RequestHead.CONTENT_LENGTH)))) {
            throw new RejectedRequestException(HttpStatus.BAD_REQUEST, "a GET with a body");
        }
    }

    /** Returns the value of a header that must be there exactly once. */
    private static String singleHeader(RequestHead head, String name)
            throws RejectedRequestException {
        if (head.count(name) != 1) {
            throw new RejectedRequestException(
                    HttpStatus.BAD_REQUEST, name + " is missing or there twice");
        }
        return head.first(name);
    }

    private static long parseHex(String text) throws RejectedRequestException {
        if (!HEX_NUMBER.matcher(text).matches()) {
            throw new RejectedRequestException(
                    HttpStatus.BAD_REQUEST, "not 16 hexadecimal digits in the path");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private static long parseExpiryMillis(String text) throws RejectedRequestException {
        if (!text.matches("[0-9]{1,9}") || Long.parseLong(text) > MAX_EXPIRES_IN_MILLIS) {
            throw new RejectedRequestException(
                    HttpStatus.BAD_REQUEST, "X-Expires-In-Ms is not usable");
        }
        return Long.parseLong(text);
    }

    private static Map<String, Float> parseIoInfo(String text) throws RejectedRequestException {
        Map<String, Float> ioInfo = new HashMap<>();
        try {
            for (String item : text.split(",")) {
                Matcher pair = IO_INFO_ITEM.matcher(item.trim());
                if (pair.matches()) {
                    ioInfo.put(pair.group(1), Float.parseFloat(pair.group(2)));
                }
            }
        } catch (NumberFormatException invalid) {
            throw new RejectedRequestException(HttpStatus.BAD_REQUEST, "IO-Info holds no number");
        }
        if (ioInfo.size() != 3
                || ioInfo.get("units") <= 0
                || ioInfo.get("hosts") < 1
                || ioInfo.get("shard") < -1) {
            throw new RejectedRequestException(
                    HttpStatus.BAD_REQUEST, "IO-Info must tell units, shard and hosts");
        }
        return ioInfo;
    }
}
