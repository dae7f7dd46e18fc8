package poppynotch.fleet.controller;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import poppynotch.fleet.rollout.RolloutPlan;

/**
 * Reads a {@link RolloutPlan} from a YAML file and reports all problems of the file together. An
 * instance reads one file.
 */
public final class RolloutPlanReader {

    private static final Pattern DURATION = Pattern.compile("([0-9]+)(ms|s|min)");
    private static final List<String> ROOT_KEYS =
            List.of(
                    "name",
                    "servers",
                    "stages",
                    "bake",
                    "calls",
                    "gates",
                    "false-alarm",
                    "on-harm");
    private static final List<String> SERVERS_KEYS = List.of("kind", "ids");
    private static final List<String> GATES_KEYS = List.of("failures", "slow");

    /** The defaults of keys that are missing in the file: see docs/operations.md. */
    private static final List<Double> DEFAULT_STAGES = List.of(0.01, 0.05, 0.25, 0.5, 0.9);

    private static final String DEFAULT_BAKE = "60s";
    private static final int DEFAULT_MIN_CANARY_CALLS = 500;
    private static final double DEFAULT_MAX_FAILURE_EXCESS = 0.005;
    private static final double DEFAULT_MAX_SLOW_EXCESS = 0.02;
    private static final double DEFAULT_FALSE_ALARM = 0.01;

    private static final String ROLL_BACK = "back";
    private static final String HALT = "halt";

    /** Replaces an invalid value, so that the rest of the plan is still checked. */
    private static final double INVALID_STAGE = -1;

    /** Replaces an invalid duration, so that the rest of the plan is still checked. */
    private static final double INVALID_DURATION_MS = 60_000;

    private final Path file;
    private final List<String> problems = new ArrayList<>();

    private RolloutPlanReader(Path file) {
        this.file = file;
    }

    /**
     * Reads a plan.
     *
     * @throws IOException if the file cannot be read
     * @throws IllegalArgumentException if the plan is invalid; the message has a line for each
     *     problem
     */
    public static RolloutPlan read(Path file) throws IOException {
        return new RolloutPlanReader(file).read();
    }

    private RolloutPlan read() throws IOException {
        JsonNode root = parse();
        reportUnknownKeys("", root, ROOT_KEYS);
        reportUnknownKeys("servers.", root.path("servers"), SERVERS_KEYS);
        reportUnknownKeys("gates.", root.path("gates"), GATES_KEYS);
        RolloutPlan plan = plan(root);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(
                    String.join(
                            System.lineSeparator(),
                            problems.stream().map(problem -> file + ": " + problem).toList()));
        }
        return plan;
    }

    private JsonNode parse() throws IOException {
        JsonNode root;
        try {
            root = new YAMLMapper().readTree(Files.readAllBytes(file));
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException("there is no file " + file, e);
        } catch (JacksonException e) {
            throw new IllegalArgumentException(file + " is not YAML: " + e.getOriginalMessage(), e);
        }
        if (root == null || !root.isObject()) {
            throw new IllegalArgumentException(file + " holds no keys");
        }
        return root;
    }

    /** The plan, or null if it is invalid and its problems were recorded. */
    private RolloutPlan plan(JsonNode root) {
        JsonNode servers = root.path("servers");
        JsonNode gates = root.path("gates");
        List<String> serverIds = new ArrayList<>();
        servers.path("ids").forEach(id -> serverIds.add(id.asText()));
        List<Double> stages = stages(root);
        boolean rollBackOnHarm = rollBackOnHarm(root);
        double minCanaryCalls = number("calls", root.path("calls"), DEFAULT_MIN_CANARY_CALLS);
        try {
            return new RolloutPlan(
                    root.path("name").asText(""),
                    servers.path("kind").asText(""),
                    serverIds,
                    stages,
                    durationMs("bake", root.path("bake").asText(DEFAULT_BAKE)),
                    (long) minCanaryCalls,
                    number("gates.failures", gates.path("failures"), DEFAULT_MAX_FAILURE_EXCESS),
                    number("gates.slow", gates.path("slow"), DEFAULT_MAX_SLOW_EXCESS),
                    number("false-alarm", root.path("false-alarm"), DEFAULT_FALSE_ALARM),
                    rollBackOnHarm);
        } catch (IllegalArgumentException e) {
            e.getMessage().lines().forEach(problems::add);
            return null;
        }
    }

    private List<Double> stages(JsonNode root) {
        List<Double> stages = new ArrayList<>();
        for (JsonNode stage : root.path("stages")) {
            stages.add(number("stages[]", stage, INVALID_STAGE));
        }
        return root.has("stages") ? stages : DEFAULT_STAGES;
    }

    private boolean rollBackOnHarm(JsonNode root) {
        String onHarm = root.path("on-harm").asText(ROLL_BACK);
        if (!onHarm.equals(ROLL_BACK) && !onHarm.equals(HALT)) {
            problems.add("on-harm must be back or halt but is " + onHarm);
        }
        return onHarm.equals(ROLL_BACK);
    }

    private void reportUnknownKeys(String prefix, JsonNode node, List<String> knownKeys) {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!knownKeys.contains(name)) {
                problems.add(prefix + name + " is none of " + String.join(", ", knownKeys));
            }
        }
    }

    private double number(String key, JsonNode node, double defaultValue) {
        if (node.isMissingNode()) {
            return defaultValue;
        }
        if (!node.isNumber()) {
            problems.add(key + " must be a number but is " + node);
            return defaultValue;
        }
        return node.asDouble();
    }

    private double durationMs(String key, String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            problems.add(key + " must be a time, as 500ms, 60s or 5min, but is " + text);
            return INVALID_DURATION_MS;
        }
        long value = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> value;
            case "s" -> value * 1000.0;
            default -> value * 60_000.0;
        };
    }
}
