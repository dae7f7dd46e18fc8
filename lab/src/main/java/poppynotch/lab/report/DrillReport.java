package poppynotch.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import poppynotch.lab.drill.DrillOutcome;
import poppynotch.lab.measure.Result;

/**
 * Renders a page on a fault drill: its verdict, and a timeline of what every process saw.
 * Stateless.
 */
public final class DrillReport {

    private DrillReport() {}

    /** Writes {@code drill.html} into a folder, which is created if it does not exist. */
    public static void write(Path folder, DrillOutcome outcome) throws IOException {
        Page page = new Page("Drill " + outcome.plan().name());
        page.paragraph(outcome.plan().about());
        page.paragraph(outcome.isPassed() ? "Every promise and every rule was kept." : "BROKEN:");
        page.list(outcome.violations());
        page.list(outcome.figures());
        Charts charts = new Charts();
        List<Result.Span> shadedFaults = new ArrayList<>(outcome.day().troubles());
        outcome.plan()
                .faults()
                .forEach(
                        fault ->
                                shadedFaults.add(
                                        new Result.Span(
                                                fault.kind().name(),
                                                fault.at(),
                                                fault.at() + fault.lasts())));
        List<Charts.Line> views = new ArrayList<>();
        outcome.views().forEach((process, points) -> views.add(new Charts.Line(process, points)));
        page.heading("Views");
        page.plot(
                charts.overTime(
                        "Members present, as each process sees them",
                        "members",
                        views,
                        shadedFaults));
        page.plot(
                charts.overTime(
                        "Part of the processes that see the truth",
                        "part",
                        List.of(new Charts.Line("right", outcome.correctViews())),
                        shadedFaults));
        page.heading("Load");
        page.plot(
                charts.overTime(
                        "Requests a second",
                        "requests",
                        List.of(
                                Charts.perSecond(
                                        "asked", outcome.day(), second -> second.offered()),
                                Charts.perSecond(
                                        "in time", outcome.day(), second -> second.inTime()),
                                Charts.perSecond(
                                        "refused", outcome.day(), second -> second.refused())),
                        shadedFaults));
        page.heading("What happened");
        page.list(outcome.events());
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("drill.html"), page.html());
    }
}
