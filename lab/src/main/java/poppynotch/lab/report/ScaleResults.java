package poppynotch.lab.report;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The figures of a run of {@code lab scale}, as its {@code results.json} holds them: each with its
 * key, its unit, the size that it was measured at and its interval, together with the command and
 * the commit that were measured. All of these runs share this form, so that fits and pages can read
 * any of them.
 *
 * <p>An invalid figure (a key or a unit of another form, a value that is not finite, the same key
 * and size twice) is an {@link IllegalArgumentException} of one line. Not thread-safe.
 */
public final class ScaleResults {

    /** The kind of a figure that was seen in a run. */
    public static final String MEASURED = "measured";

    /** The kind of a figure that was calculated from measured ones. */
    public static final String EXTRAPOLATED = "worked";

    /** The allowed units; {@code core} counts processor cores, {@code part} is a fraction of 1. */
    public static final Set<String> UNITS =
            Set.of("B/s", "B", "1/s", "s", "ms", "core", "MB", "count", "part");

    /** The commit if none is known. */
    public static final String UNKNOWN = "unknown";

    private static final Pattern KEY = Pattern.compile("[a-z0-9_]+(\\.[a-z0-9_]+)+");
    private static final String DIRTY_SUFFIX = "-dirty";
    private static final ObjectMapper JSON =
            new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    /**
     * One figure.
     *
     * @param key what it is, in dotted lower-case words: {@code phase.role.what}
     * @param unit one of {@link #UNITS}
     * @param kind {@link #MEASURED} or {@link #EXTRAPOLATED}
     * @param size the members that it holds for; 0 where size does not matter
     * @param low the lower end of its 95 % interval, or of what {@code about} says; null where not
     *     known
     * @param high the upper end, as {@code low}
     * @param n how many samples stand behind it; 0 where that is not said
     * @param about what else there is to know of it, or null
     * @param fit how a figure was worked out, or null for a measured one
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Figure(
            String key,
            String unit,
            String kind,
            int size,
            double value,
            Double low,
            Double high,
            long n,
            String about,
            Fit fit) {

        /** Rejects figures that no reader could use. */
        public Figure {
            checkKinds(key, unit, kind);
            if (size < 0 || n < 0) {
                throw new IllegalArgumentException(key + " has a size or a count below 0");
            }
            if (!Double.isFinite(value) || !isNullOrFinite(low) || !isNullOrFinite(high)) {
                throw new IllegalArgumentException(key + " at size " + size + " is no number");
            }
            if (low != null && high != null && low > high) {
                throw new IllegalArgumentException(
                        key + " at size " + size + " has an interval from " + low + " to " + high);
            }
        }

        private static void checkKinds(String key, String unit, String kind) {
            if (key == null || !KEY.matcher(key).matches()) {
                throw new IllegalArgumentException(
                        "a figure's key must be dotted lower-case words, not " + key);
            }
            if (unit == null || !UNITS.contains(unit)) {
                throw new IllegalArgumentException(
                        key
                                + " has the unit "
                                + unit
                                + ", which is none of "
                                + UNITS.stream().sorted().toList());
            }
            if (!MEASURED.equals(kind) && !EXTRAPOLATED.equals(kind)) {
                throw new IllegalArgumentException(
                        key + " is neither " + MEASURED + " nor " + EXTRAPOLATED + " but " + kind);
            }
        }

        private static boolean isNullOrFinite(Double bound) {
            return bound == null || Double.isFinite(bound);
        }
    }

    /**
     * How a figure was worked out from measured ones.
     *
     * @param model the formula, as {@code a + b*size}
     * @param trend {@code level} where the slope's interval holds 0, else {@code rising} or {@code
     *     falling}
     * @param slope b of the formula: the unit's change a member, or a doubling of members
     * @param slopeLow the lower end of its 95 % interval
     * @param slopeHigh the upper end
     * @param sizes the sizes that were measured
     * @param command the command that measured them
     * @param commit the commit that it measured
     */
    public record Fit(
            String model,
            String trend,
            double slope,
            @JsonProperty("slope_low") double slopeLow,
            @JsonProperty("slope_high") double slopeHigh,
            List<Integer> sizes,
            String command,
            String commit) {}

    /** The JSON document. */
    private record Document(
            String command, String commit, boolean dirty, String at, List<Figure> figures) {}

    private final String command;
    private final String commit;
    private final boolean dirty;
    private final String at;
    private final List<Figure> figures = new ArrayList<>();

    /**
     * Results of a command, of the commit that the folder this runs in stands at, if it is a
     * repository.
     */
    public ScaleResults(String command) {
        this(command, null);
    }

    /**
     * Results of a command.
     *
     * @param command the command line that gives them
     * @param commit the commit that is measured, with {@code -dirty} at its end where more was
     *     changed; null or empty to ask git about the folder that this runs in
     */
    public ScaleResults(String command, String commit) {
        String description =
                commit == null || commit.isBlank() ? describeWorkingCopy() : commit.strip();
        this.command = command;
        this.dirty = description.endsWith(DIRTY_SUFFIX);
        this.commit =
                dirty
                        ? description.substring(0, description.length() - DIRTY_SUFFIX.length())
                        : description;
        this.at = Instant.now().truncatedTo(ChronoUnit.SECONDS).toString();
    }

    private ScaleResults(Document document) {
        command = document.command();
        commit = document.commit();
        dirty = document.dirty();
        at = document.at();
        document.figures().forEach(this::add);
    }

    /** Adds a measured figure with its interval and the count of its samples; returns this. */
    public ScaleResults add(
            String key, String unit, int size, double value, double low, double high, long n) {
        return add(new Figure(key, unit, MEASURED, size, value, low, high, n, null, null));
    }

    /** Adds a measured figure without an interval; returns this. */
    public ScaleResults add(String key, String unit, int size, double value) {
        return add(new Figure(key, unit, MEASURED, size, value, null, null, 0, null, null));
    }

    /** Adds any figure; returns this. */
    public ScaleResults add(Figure figure) {
        if (find(figure.key(), figure.size()).isPresent()) {
            throw new IllegalArgumentException(
                    figure.key() + " at size " + figure.size() + " is there twice");
        }
        figures.add(figure);
        return this;
    }

    /** The figure of a key and a size. */
    public Optional<Figure> find(String key, int size) {
        return figures.stream().filter(f -> f.key().equals(key) && f.size() == size).findFirst();
    }

    /** All figures, in the order in which they were added. */
    public List<Figure> figures() {
        return List.copyOf(figures);
    }

    /** The command that measured the figures. */
    public String command() {
        return command;
    }

    /** The measured commit, or {@link #UNKNOWN}. */
    public String commit() {
        return commit;
    }

    /** Whether the working copy had changes that the commit does not hold. */
    public boolean dirty() {
        return dirty;
    }

    /** Writes {@code results.json} into a folder, which is created if it does not exist. */
    public void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        writeFile(folder.resolve("results.json"));
    }

    /** Writes the results into a file of any name; its folder must exist. */
    public void writeFile(Path file) throws IOException {
        JSON.writeValue(file.toFile(), new Document(command, commit, dirty, at, figures));
    }

    /**
     * Reads results. Unknown keys of the file are ignored.
     *
     * @param from the file, or the folder that holds {@code results.json}
     * @throws IllegalArgumentException with a message of one line, if the file does not exist or
     *     holds something else
     */
    public static ScaleResults read(Path from) throws IOException {
        Path file = Files.isDirectory(from) ? from.resolve("results.json") : from;
        try {
            Document document = JSON.readValue(Files.readAllBytes(file), Document.class);
            if (document == null
                    || document.figures() == null
                    || document.figures().stream().anyMatch(Objects::isNull)) {
                throw new IllegalArgumentException("it has no list of figures");
            }
            if (document.command() == null || document.commit() == null) {
                throw new IllegalArgumentException(
                        "it does not say which command and commit gave it");
            }
            return new ScaleResults(document);
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException(file + " is not there", e);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    file
                            + " holds no results of lab scale: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""),
                    e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    file + " holds no results of lab scale: " + e.getMessage(), e);
        }
    }

    /**
     * Asks git for the short commit of this folder, with {@code -dirty} if tracked files differ.
     */
    private static String describeWorkingCopy() {
        Optional<String> head = git("rev-parse", "--short", "HEAD").filter(line -> !line.isEmpty());
        // Other git processes must not wait for a lock of this query.
        boolean isChanged =
                git("--no-optional-locks", "status", "--porcelain", "--untracked-files=no")
                        .filter(lines -> !lines.isEmpty())
                        .isPresent();
        return head.map(commit -> isChanged ? commit + DIRTY_SUFFIX : commit).orElse(UNKNOWN);
    }

    private static Optional<String> git(String... arguments) {
        List<String> command = new ArrayList<>(List.of("git"));
        command.addAll(List.of(arguments));
        try {
            Process process =
                    new ProcessBuilder(command)
                            .redirectError(ProcessBuilder.Redirect.DISCARD)
                            .start();
            process.getOutputStream().close();
            String output =
                    new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                            .strip();
            return process.waitFor() == 0 ? Optional.of(output) : Optional.empty();
        } catch (IOException e) {
            // Without git the commit is reported as unknown.
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
