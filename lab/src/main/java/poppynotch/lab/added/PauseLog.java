package poppynotch.lab.added;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the log of a Java virtual machine's pauses. Its times are those of {@link System#nanoTime},
 * which all processes of a machine share, so that pauses and calls can be compared. Stateless.
 */
public final class PauseLog {

    /**
     * A time in which no thread of the program ran.
     *
     * @param collection whether it is a garbage collection, which lies within a safepoint
     * @param name of its cause
     */
    public record Pause(boolean collection, String name, long fromNanos, long toNanos) {

        double ms() {
            return (toNanos - fromNanos) / 1e6;
        }

        /** Whether it overlaps a time span. */
        boolean meets(long from, long to) {
            return fromNanos < to && toNanos > from;
        }
    }

    private static final Pattern SAFEPOINT =
            Pattern.compile(
                    "\\[(\\d+)ns]\\[safepoint\\s*] Safepoint \"(\\w+)\".* Total:\\s*(\\d+) ns");
    private static final Pattern COLLECTION =
            Pattern.compile(
                    "\\[(\\d+)ns]\\[gc\\s*] GC\\(\\d+\\) Pause (.*?) \\d+M->\\S+ ([\\d.]+)ms");

    private PauseLog() {}

    /**
     * The option of the virtual machine that makes it write the log, quoted for a shell. It costs a
     * line a pause, of which there are few.
     */
    static String option(Path file) {
        return "'-Xlog:gc,safepoint:file=" + file + ":timenanos,tags:filecount=0'";
    }

    /** All pauses until now, in order; none where there is no log. */
    static List<Pause> read(Path file) throws IOException {
        try {
            return parse(Files.readAllLines(file, StandardCharsets.UTF_8));
        } catch (NoSuchFileException e) {
            return List.of();
        }
    }

    /**
     * Parses the pauses among lines of the log. Other lines are skipped, and so is one that is only
     * partly written.
     */
    static List<Pause> parse(List<String> lines) {
        List<Pause> pauses = new ArrayList<>();
        for (String line : lines) {
            Matcher safepoint = SAFEPOINT.matcher(line);
            Matcher collection = COLLECTION.matcher(line);
            if (safepoint.matches()) {
                // A line is written when its pause is over.
                long to = Long.parseLong(safepoint.group(1));
                pauses.add(
                        new Pause(
                                false,
                                safepoint.group(2),
                                to - Long.parseLong(safepoint.group(3)),
                                to));
            } else if (collection.matches()) {
                long to = Long.parseLong(collection.group(1));
                pauses.add(
                        new Pause(
                                true,
                                collection.group(2),
                                to - Math.round(Double.parseDouble(collection.group(3)) * 1e6),
                                to));
            }
        }
        return pauses;
    }
}
