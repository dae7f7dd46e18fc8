package poppynotch.lab;

import java.io.PrintWriter;
import java.util.Locale;
import poppynotch.lab.measure.Result;
import poppynotch.lab.virtual.VirtualWorld;

/**
 * Prints the results of a campaign's days in plain lines. Called by the thread that runs the
 * campaign only; the writer is the caller's and is flushed after each day, never closed.
 */
final class CampaignPrinter {

    private static final double BYTES_PER_MIB = 1048576.0;

    private final PrintWriter out;

    CampaignPrinter(PrintWriter out) {
        this.out = out;
    }

    /** Prints a day's score, its request counts, its notes and the rules that it broke. */
    void printResult(Result result) {
        printScore(result);
        printRequests(result);
        result.notes().forEach(note -> out.println("  note: " + note));
        if (result.hasNoViolations()) {
            out.println("  rules kept");
        }
        result.rules()
                .forEach(
                        (rule, count) ->
                                out.println("  RULE BROKEN: " + rule + ", " + count + " times"));
        result.broken()
                .forEach(
                        violation ->
                                out.printf(
                                        Locale.ROOT,
                                        "    %s at %.3f s: request %s, nodo %s: %s%n",
                                        violation.rule().name().toLowerCase(Locale.ROOT),
                                        violation.atMs() / 1000,
                                        violation.request(),
                                        violation.nodo(),
                                        violation.why()));
        out.flush();
    }

    private void printScore(Result result) {
        out.printf(
                Locale.ROOT,
                "%s%s seed %d, %s, %s: G %.3f  (whole %.3f, worst 10 s %.3f, worst class %.3f)%n",
                // On a terminal the line replaces the progress line.
                System.console() == null ? "" : "\r",
                result.experiment() + (result.point().isEmpty() ? "" : " " + result.point()),
                result.seed(),
                result.mode(),
                result.policy(),
                result.g(),
                result.whole(),
                result.worstTenSeconds(),
                result.worstClass());
    }

    private void printRequests(Result result) {
        Result.Totals totals = result.totals();
        double onePercent = Math.max(1, totals.offered()) / 100.0;
        out.printf(
                Locale.ROOT,
                "  of %d: %.1f %% in time, %.1f late, %.1f refused, %.1f failed;"
                        + " answers p50 %.0f, p99 %.0f ms; %.2f tries, %.2f attempts each%n",
                totals.offered(),
                totals.inTime() / onePercent,
                totals.late() / onePercent,
                totals.refused() / onePercent,
                totals.failed() / onePercent,
                result.latency().p50(),
                result.latency().p99(),
                totals.tries() / (onePercent * 100),
                totals.attempts() / (onePercent * 100));
    }

    /** Prints how fast a day was simulated and, where it was measured, the memory that it took. */
    void printSimulationSpeed(VirtualWorld.DayRun played) {
        out.printf(
                Locale.ROOT,
                "  played in %.1f s: %.1f million events, %.0f thousand a second%s%n",
                played.nanos() / 1e9,
                played.events() / 1e6,
                played.events() / (played.nanos() / 1e6),
                memory(played));
        out.flush();
    }

    private static String memory(VirtualWorld.DayRun played) {
        if (played.liveBytes() < 0) {
            return "";
        }
        return String.format(
                Locale.ROOT,
                ", %.0f MB live, %d sidecars, %d nodos",
                played.liveBytes() / BYTES_PER_MIB,
                played.sidecars(),
                played.modelServers());
    }
}
