package cypressglade.console;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One status frame of the control socket, as the console shows it. Fields that a frame lacks are
 * zero or empty.
 *
 * @param rejections number of rejected requests by reason
 * @param counters values by the counters' names
 * @param events one line each, the oldest first
 * @param members name and state of each scheduler of the fleet
 */
record View(
        List<Node> nodes,
        List<Queue> queues,
        Map<String, Long> rejections,
        Map<String, Long> counters,
        List<String> events,
        List<String> members) {
    static final View EMPTY =
            new View(List.of(), List.of(), Map.of(), Map.of(), List.of(), List.of());

    /**
     * A storage node.
     *
     * @param msPerUnit service time in milliseconds for one cost unit
     * @param inFlightUnits cost units of the attempts without an answer yet
     * @param bound maximum of the cost units in flight
     * @param queued requests that wait for this node
     * @param answeredAgoMs milliseconds since the last answer; negative before the first
     */
    record Node(
            String id,
            int shard,
            String state,
            double msPerUnit,
            double inFlightUnits,
            double bound,
            int queued,
            long answeredAgoMs) {}

    /**
     * The queued requests of one class.
     *
     * @param name of the class
     * @param queued number of requests
     * @param oldestMs how long the oldest has waited, in milliseconds
     */
    record Queue(String name, int queued, long oldestMs) {}

    static View parse(JsonNode frame) {
        List<Node> nodes = new ArrayList<>();
        for (JsonNode node : frame.path("nodes")) {
            nodes.add(
                    new Node(
                            node.path("id").asText(),
                            node.path("shard").asInt(),
                            node.path("state").asText(),
                            node.path("us_a_unit").asDouble() / 1000,
                            node.path("units_out").asDouble(),
                            node.path("bound").asDouble(),
                            node.path("held").asInt(),
                            node.path("answered_ago_ms").asLong()));
        }
        List<Queue> queues = new ArrayList<>();
        for (JsonNode queue : frame.path("queues")) {
            queues.add(
                    new Queue(
                            queue.path("class").asText(),
                            queue.path("held").asInt(),
                            queue.path("oldest_ms").asLong()));
        }
        List<String> events = new ArrayList<>();
        for (JsonNode event : frame.path("events")) {
            StringBuilder line =
                    new StringBuilder(
                            timeOfDay(event.path("at").asText())
                                    + "  "
                                    + event.path("event").asText());
            event.properties()
                    .forEach(
                            field -> {
                                if (!List.of("at", "event", "number").contains(field.getKey())) {
                                    line.append("  ")
                                            .append(field.getKey())
                                            .append('=')
                                            .append(field.getValue().asText());
                                }
                            });
            events.add(line.toString());
        }
        List<String> members = new ArrayList<>();
        for (JsonNode member : frame.path("members")) {
            members.add(member.path("name").asText() + " " + member.path("state").asText());
        }
        return new View(
                nodes,
                queues,
                numbers(frame.path("given_up")),
                numbers(frame.path("counters")),
                events,
                members);
    }

    private static String timeOfDay(String instant) {
        return instant.length() < 19 ? instant : instant.substring(11, 19);
    }

    private static Map<String, Long> numbers(JsonNode object) {
        Map<String, Long> numbers = new LinkedHashMap<>();
        object.properties()
                .forEach(field -> numbers.put(field.getKey(), field.getValue().asLong()));
        return numbers;
    }
}
