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

/** Reads a plan from a YAML file, and says all that is wrong with one at once. */
public final class RolloutPlanReader {

    private static final Pattern TIME = Pattern.compile("([0-9]+)(ms|s|min)");
    private static final List<String> KEYS =
            List.of(
                    "name",
                    "servers",
                    "stages",
                    "bake",
                    "calls",
                    "gates",
                    "false-alarm",
                    "on-harm");

    /** What holds where the file is silent: see docs/operations.md. */
    private static final List<Double> STAGES = List.of(0.01, 0.05, 0.25, 0.5, 0.9);

    private static final String BAKE = "60s";
    private static final int CALLS = 500;
    private static final double FAILURES = 0.005;
    private static final double SLOW = 0.02;
    private static final double FALSE_ALARM = 0.01;

    private final Path file;
    private final List<String> wrong = new ArrayList<>();

    private RolloutPlanReader(Path file) {
        this.file = file;
    }

    /**
     * Reads a file.
     *
     * @throws IOException if it cannot be read
     * @throws IllegalArgumentException with a line for each thing that is wrong
     */
    public static RolloutPlan read(Path file) throws IOException {
        return new RolloutPlanReader(file).plan();
    }

    private RolloutPlan plan() throws IOException {
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
        unknown("", root, KEYS);
        unknown("servers.", root.path("servers"), List.of("kind", "ids"));
        unknown("gates.", root.path("gates"), List.of("failures", "slow"));
        List<String> ids = new ArrayList<>();
        root.path("servers").path("ids").forEach(id -> ids.add(id.asText()));
        List<Double> stages = new ArrayList<>();
        for (JsonNode stage : root.path("stages")) {
            stages.add(number("stages[]", stage, -1));
        }
        String onHarm = root.path("on-harm").asText("back");
        if (!onHarm.equals("back") && !onHarm.equals("halt")) {
            wrong.add("on-harm must be back or halt but is " + onHarm);
        }
        double calls = number("calls", root.path("calls"), CALLS);
        RolloutPlan plan = null;
        try {
            plan =
                    new RolloutPlan(
                            root.path("name").asText(""),
                            root.path("servers").path("kind").asText(""),
                            ids,
                            root.has("stages") ? stages : STAGES,
                            time("bake", root.path("bake").asText(BAKE)),
                            (long) calls,
                            number("gates.failures", root.path("gates").path("failures"), FAILURES),
                            number("gates.slow", root.path("gates").path("slow"), SLOW),
                            number("false-alarm", root.path("false-alarm"), FALSE_ALARM),
                            onHarm.equals("back"));
        } catch (IllegalArgumentException e) {
            e.getMessage().lines().forEach(wrong::add);
        }
        if (!wrong.isEmpty()) {
            throw new IllegalArgumentException(
                    String.join(
                            System.lineSeparator(),
                            wrong.stream().map(line -> file + ": " + line).toList()));
        }
        return plan;
    }

    private void unknown(String in, JsonNode node, List<String> keys) {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!keys.contains(name)) {
                wrong.add(in + name + " is none of " + String.join(", ", keys));
            }
        }
    }

    private double number(String key, JsonNode node, double otherwise) {
        if (node.isMissingNode()) {
            return otherwise;
        }
        if (!node.isNumber()) {
            wrong.add(key + " must be a number but is " + node);
            return otherwise;
        }
        return node.asDouble();
    }

    private double time(String key, String text) {
        Matcher matcher = TIME.matcher(text);
        if (!matcher.matches()) {
            wrong.add(key + " must be a time, as 500ms, 60s or 5min, but is " + text);
            return 60_000;
        }
        long value = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> value;
            case "s" -> value * 1000.0;
            default -> value * 60_000.0;
        };
    }
}
