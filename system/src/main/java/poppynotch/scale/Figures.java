package poppynotch.scale;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.spi.JsonProvider;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Measured figures, written in the format of the results that the page of capacity is held to. */
final class Figures {

    private static final double LOW = 0.01;
    private static final double HIGH = 0.99;

    private record Figure(
            String key, String unit, int size, List<Double> samples, boolean interval) {}

    private final String command;
    private final List<Figure> figures = new ArrayList<>();

    Figures(String command) {
        this.command = command;
    }

    /** One value. */
    void value(String key, String unit, int size, double value) {
        figures.add(new Figure(key, unit, size, List.of(value), false));
    }

    /** The median of samples, and the first and 99th part of all; nothing without samples. */
    void median(String key, String unit, int size, List<Double> samples) {
        if (!samples.isEmpty()) {
            figures.add(new Figure(key, unit, size, List.copyOf(samples), true));
        }
    }

    private static double part(List<Double> sorted, double part) {
        return sorted.get(
                (int) Math.min(sorted.size() - 1, Math.round(part * (sorted.size() - 1))));
    }

    /** All figures as JSON. */
    String json() throws IOException {
        JsonProvider json = JsonProvider.provider();
        JsonArrayBuilder all = json.createArrayBuilder();
        for (Figure figure : figures) {
            List<Double> sorted = new ArrayList<>(figure.samples());
            Collections.sort(sorted);
            JsonObjectBuilder one =
                    json.createObjectBuilder()
                            .add("key", figure.key())
                            .add("unit", figure.unit())
                            .add("kind", "measured")
                            .add("size", figure.size())
                            .add("value", part(sorted, 0.5));
            if (figure.interval()) {
                one.add("low", part(sorted, LOW)).add("high", part(sorted, HIGH));
                one.add("about", "median; low and high are the 1st and 99th part of all");
            }
            all.add(one.add("n", sorted.size()));
        }
        return json.createObjectBuilder()
                .add("command", command)
                .add("commit", git("rev-parse", "--short", "HEAD"))
                .add("dirty", !git("status", "--porcelain", "--untracked-files=no").isEmpty())
                .add("at", Instant.now().truncatedTo(ChronoUnit.SECONDS).toString())
                .add("figures", all)
                .build()
                .toString();
    }

    private static String git(String... words) throws IOException {
        List<String> line = new ArrayList<>(List.of("git"));
        line.addAll(List.of(words));
        Process git = new ProcessBuilder(line).redirectErrorStream(true).start();
        return new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
    }
}
