package poppynotch.lab.added;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What was measured of the time that sidecars add to calls. */
public final class CallsOutcome {

    /**
     * One figure.
     *
     * @param key dotted lower-case words
     * @param unit as the lab's results have them
     * @param size servers known, or a chain's sidecars
     * @param about what more there is to know, or null
     */
    public record Figure(String key, String unit, int size, Estimate value, String about) {}

    /**
     * What was sent to one sidecar at one rate.
     *
     * @param rate calls a second
     * @param known servers that the sidecar knows
     * @param fleet whether it takes part in a fleet
     * @param key how its figures' keys begin
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
     * A phase's blocks together.
     *
     * @param figures by their name below the phase's key
     */
    public record Measured(
            Phase phase, Map<String, Estimate> figures, Histogram direct, Histogram by) {}

    private final List<Figure> figures = new ArrayList<>();
    private final List<Measured> phases = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();
    private long lost;

    static String word(boolean fleet) {
        return fleet ? "fleet_on" : "fleet_off";
    }

    /** A number as a part of a key, which has no place for a point. */
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

    void lost(long calls) {
        lost += calls;
    }

    /** All figures, in the order in which they came. */
    public List<Figure> figures() {
        return List.copyOf(figures);
    }

    /** The phases, in the order in which they came; the chain is not among them. */
    public List<Measured> phases() {
        return List.copyOf(phases);
    }

    /** What could not be said, and why. */
    public List<String> notes() {
        return List.copyOf(notes);
    }

    /** Calls that were not served in blocks that count; the knee's are not among them. */
    public long lost() {
        return lost;
    }
}
