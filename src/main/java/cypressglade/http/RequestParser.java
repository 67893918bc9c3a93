package cypressglade.http;

import cypressglade.core.IoRequest;
import cypressglade.core.Micros;
import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.Settings;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads what the core needs to know out of a client's request. */
final class RequestParser {
    static final HttpString TRACE_ID = new HttpString("X-Trace-Id");
    static final HttpString KEY = new HttpString("Idempotency-Key");
    private static final long FNV_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final HttpString TIER = new HttpString("Tier");
    private static final HttpString EXPIRES = new HttpString("X-Expires-In-Ms");
    private static final HttpString IO_INFO = new HttpString("IO-Info");
    private static final HttpString SECOND_TRY = new HttpString("X-Second-Try");
    private static final Pattern PATH = Pattern.compile("/([^/]+)/([^/]+)/([^/]+)");
    private static final Pattern HEX = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Pattern INFO = Pattern.compile("(units|shard|hosts)=(-?[0-9.]{1,12})");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final Pattern NAME = Pattern.compile("[-!#$%&'*+.^_`|~0-9A-Za-z]+");
    private static final Pattern TOKEN = Pattern.compile("[!-~]{1,128}");

    /**
     * Kept back of the client's time, so that the answer's last byte comes before it runs out: so
     * much at most, and no more than a part. Guards against clients of little patience losing half
     * of it here.
     */
    private static final Duration MARGIN = Duration.ofMillis(30);

    private static final int MARGIN_PART = 8;
    private static final long MOST_MS = Duration.ofHours(1).toMillis();

    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> plans = new HashMap<>();
    private final long longestMs;

    /** A request that is not passed on, and the status that says why. */
    static final class Rejected extends Exception {
        private static final long serialVersionUID = 1L;
        private final int status;

        Rejected(int status, String why) {
            super(why);
            this.status = status;
        }

        int status() {
            return status;
        }
    }

    RequestParser(Settings settings) {
        for (RequestClass type : settings.classes()) {
            classes.put(type.name(), classes.size());
        }
        longestMs =
                settings.classes().stream()
                        .map(RequestClass::deadlineUs)
                        .map(Micros::toDuration)
                        .mapToLong(Duration::toMillis)
                        .max()
                        .orElse(MOST_MS);
        for (Plan plan : settings.plans()) {
            plans.put(plan.name(), plans.size());
        }
    }

    IoRequest parse(String method, String path, HeaderMap headers, Instant arrived)
            throws Rejected {
        Matcher parts = PATH.matcher(path);
        if (!parts.matches() || !classes.containsKey(parts.group(1))) {
            throw new Rejected(404, "no such path");
        }
        if (!method.equals("GET") && !method.equals("PUT")) {
            throw new Rejected(405, "neither GET nor PUT");
        }
        Integer plan = plans.get(header(headers, TIER));
        if (plan == null) {
            throw new Rejected(400, "Tier names no plan");
        }
        if (!TOKEN.matcher(header(headers, TRACE_ID)).matches()) {
            throw new Rejected(400, "X-Trace-Id is not usable");
        }
        framing(method, headers);
        if (headers.count(KEY) > 1) { // which of two keys a node would drop repeats by is not plain
            throw new Rejected(400, KEY + " is there twice");
        }
        Map<String, Float> info = info(header(headers, IO_INFO));
        // No client holds a request open for longer than any class lets it.
        long left = Math.min(longestMs, whole(header(headers, EXPIRES)));
        return new IoRequest(
                info.get("shard").intValue(),
                classes.get(parts.group(1)),
                plan,
                info.get("hosts").intValue(),
                "1".equals(headers.getFirst(SECOND_TRY)),
                method.equals("PUT"),
                hex(parts.group(2)),
                hex(parts.group(3)),
                info.get("units"),
                arrived.plusMillis(left - Math.min(MARGIN.toMillis(), left / MARGIN_PART)),
                token(headers.getFirst(KEY)));
    }

    /** A number that stands for a key, by FNV-1a of 64 bits; 0 for none. */
    private static long token(String key) {
        if (key == null) {
            return 0;
        }
        long hash = FNV_BASIS;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * FNV_PRIME;
        }
        return hash == 0 ? 1 : hash;
    }

    /** Where a body ends must be plain: a request that can be read in two ways may hide another. */
    private static void framing(String method, HeaderMap headers) throws Rejected {
        boolean chunked = headers.contains(Headers.TRANSFER_ENCODING);
        boolean told = headers.contains(Headers.CONTENT_LENGTH);
        if (chunked
                        && (told
                                || !"chunked"
                                        .equalsIgnoreCase(
                                                header(headers, Headers.TRANSFER_ENCODING)))
                || told && !LENGTH.matcher(header(headers, Headers.CONTENT_LENGTH)).matches()) {
            throw new Rejected(400, "the body's end is not plain");
        }
        if (method.equals("GET")
                && (chunked || told && !"0".equals(headers.getFirst(Headers.CONTENT_LENGTH)))) {
            throw new Rejected(400, "a GET with a body");
        }
        for (HeaderValues header : headers) {
            if (!NAME.matcher(header.getHeaderName().toString()).matches()) {
                throw new Rejected(400, "a header has no usable name");
            }
        }
    }

    private static String header(HeaderMap headers, HttpString name) throws Rejected {
        if (headers.count(name) != 1) {
            throw new Rejected(400, name + " is missing or there twice");
        }
        return headers.getFirst(name);
    }

    private static long hex(String text) throws Rejected {
        if (!HEX.matcher(text).matches()) {
            throw new Rejected(400, "not 16 hexadecimal digits in the path");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private static long whole(String text) throws Rejected {
        if (!text.matches("[0-9]{1,9}") || Long.parseLong(text) > MOST_MS) {
            throw new Rejected(400, "X-Expires-In-Ms is not usable");
        }
        return Long.parseLong(text);
    }

    private static Map<String, Float> info(String text) throws Rejected {
        Map<String, Float> info = new HashMap<>();
        try {
            for (String item : text.split(",")) {
                Matcher pair = INFO.matcher(item.trim());
                if (pair.matches()) {
                    info.put(pair.group(1), Float.parseFloat(pair.group(2)));
                }
            }
        } catch (NumberFormatException notANumber) {
            throw new Rejected(400, "IO-Info holds no number");
        }
        if (info.size() != 3
                || info.get("units") <= 0
                || info.get("hosts") < 1
                || info.get("shard") < -1) {
            throw new Rejected(400, "IO-Info must tell units, shard and hosts");
        }
        return info;
    }
}
