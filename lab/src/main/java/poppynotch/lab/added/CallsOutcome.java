package poppynotch.lab.added;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The figures and notes of a {@link CallsTrial}, in the order of its measurements. Filled by its
 * thread.
 */
public final class CallsOutcome {

    /**
     * One figure.
     *
     * @param key dotted lower-case words
     * @param unit as the lab's results have them
     * @param size servers known, or a chain's sidecars
     * @param value with its interval
     * @param about a description beyond key and unit, or null
     */
    public record Figure(String key, String unit, int size, Estimate value, String about) {}

    /**
     * The measurement of one sidecar at one rate.
     *
     * @param rate calls a second
     * @param known servers that the sidecar knows
     * @param fleet whether it takes part in a fleet
     * @param key prefix of its figures' keys
     */
    public record Phase(double rate, int known, boolean fleet, String key) {

        static Phase of(double rate, int known, boolean fleet) {
            return new Phase(
                    rate,
                    known,
                    fleet,
                    "calls.rate" + number(rate) + ".known" + known + "." + word(fleet));
        }
    }

    /**
     * The results of a phase, over all its blocks.
     *
     * @param phase that was measured
     * @param figures by their names below the phase's key
     * @param direct times of calls without the sidecar, in nanoseconds
     * @param by times of calls through the sidecar, in nanoseconds
     */
    public record Measured(
            Phase phase, Map<String, Estimate> figures, Histogram direct, Histogram by) {}

    private final List<Figure> figures = new ArrayList<>();
    private final List<Measured> phases = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();
    private long unservedCalls;

    static String word(boolean fleet) {
        return fleet ? "fleet_on" : "fleet_off";
    }

    /** Formats a number for a key, which may not contain a point. */
    static String number(double value) {
        return value == Math.rint(value)
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.2f", value).replace('.', '_');
    }

    void add(String key, String unit, int size, Estimate value, String about) {
        figures.add(new Figure(key, unit, size, value, about));
    }

    void add(Phase phase, Map<String, Estimate> named, Histogram direct, Histogram by) {
        phases.add(new Measured(phase, new LinkedHashMap<>(named), direct, by));
    }

    void note(String line) {
        notes.add(line);
    }

    void unservedCalls(long calls) {
        unservedCalls += calls;
    }

    /** All figures, in the order of their measurement. */
    public List<Figure> figures() {
        return List.copyOf(figures);
    }

    /** The phases, in the order of their measurement; without the chain. */
    public List<Measured> phases() {
        return List.copyOf(phases);
    }

    /** Remarks on the figures: what is missing, and why. */
    public List<String> notes() {
        return List.copyOf(notes);
    }

    /** Calls that were not served, without those of warm-ups and of the knee. */
    public long unservedCalls() {
        return unservedCalls;
    }
}
