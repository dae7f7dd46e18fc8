package poppynotch.lab.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.block.BlockBorder;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.Layer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;
import org.jfree.svg.ViewBox;
import poppynotch.lab.measure.Result;

/**
 * Draws line plots as SVG text. One for each page, so that the identifiers within its plots do not
 * clash; for one thread.
 */
final class Charts {

    private static final int WIDTH = 560;
    private static final int HEIGHT = 260;
    private static final Font TITLE_FONT = new Font(Font.SANS_SERIF, Font.BOLD, 13);
    private static final Font LABEL_FONT = new Font(Font.SANS_SERIF, Font.PLAIN, 11);

    /** Colours that most people can tell apart, after Okabe and Ito. */
    private static final Color[] LINE_COLOURS = {
        new Color(0x0072B2),
        new Color(0xD55E00),
        new Color(0x009E73),
        new Color(0xCC79A7),
        new Color(0xE69F00),
        new Color(0x56B4E9),
        Color.DARK_GRAY,
        Color.BLACK
    };

    private static final Color FAULT_COLOUR = new Color(0xF3, 0xE3, 0xD3, 0x90);

    /** One line of a plot; each point is an array of x and y. */
    record Line(String name, List<double[]> points) {}

    private int chartCount;

    /** A line of a figure over the seconds of a day; a value below 0 means there is none. */
    static Line perSecond(String name, Result day, ToDoubleFunction<Result.Second> figure) {
        List<double[]> points = new ArrayList<>();
        for (Result.Second second : day.seconds()) {
            double y = figure.applyAsDouble(second);
            if (y >= 0) {
                points.add(new double[] {second.at(), y});
            }
        }
        return new Line(name, points);
    }

    /**
     * A line of the calls of each model server of a tier, as a multiple of the mean, in descending
     * order.
     */
    static Line spread(String name, Map<String, Integer> calls) {
        List<Integer> sorted = new ArrayList<>(calls.values());
        sorted.sort(Comparator.reverseOrder());
        double mean = sorted.stream().mapToInt(Integer::intValue).average().orElse(1);
        List<double[]> points = new ArrayList<>();
        for (int i = 0; i < sorted.size(); i++) {
            points.add(new double[] {i + 1, sorted.get(i) / mean});
        }
        return new Line(name, points);
    }

    /** A plot over the seconds of a day, with its faults shaded; empty if no line has a point. */
    String overTime(String title, String y, List<Line> lines, List<Result.Span> faults) {
        return plot(title, "s", y, lines, faults);
    }

    /** A plot over model servers, from the busiest on; empty if no line has a point. */
    String overNodos(String title, String y, List<Line> lines) {
        return plot(title, "nodo", y, lines, List.of());
    }

    /** A plot over sizes of fleets; empty if no line has a point. */
    String overSizes(String title, String y, List<Line> lines) {
        return plot(title, "members", y, lines, List.of());
    }

    /** A plot over any measure; empty if no line has a point. */
    String over(String title, String x, String y, List<Line> lines) {
        return plot(title, x, y, lines, List.of());
    }

    private String plot(
            String title, String x, String y, List<Line> lines, List<Result.Span> faults) {
        XYSeriesCollection data = series(lines);
        if (data.getSeriesCount() == 0) {
            return "";
        }
        JFreeChart chart =
                ChartFactory.createXYLineChart(
                        title,
                        x,
                        y,
                        data,
                        PlotOrientation.VERTICAL,
                        data.getSeriesCount() > 1,
                        false,
                        false);
        chart.setBackgroundPaint(Color.WHITE);
        chart.getTitle().setFont(TITLE_FONT);
        XYPlot plot = chart.getXYPlot();
        styleAxes(plot);
        for (Result.Span fault : faults) {
            plot.addDomainMarker(
                    new IntervalMarker(fault.from(), fault.to(), FAULT_COLOUR), Layer.BACKGROUND);
        }
        plot.setRenderer(renderer(data));
        if (chart.getLegend() != null) {
            chart.getLegend().setFrame(BlockBorder.NONE);
            chart.getLegend().setItemFont(LABEL_FONT);
        }
        return svg(chart);
    }

    private static XYSeriesCollection series(List<Line> lines) {
        XYSeriesCollection data = new XYSeriesCollection();
        for (Line line : lines) {
            XYSeries series = new XYSeries(line.name(), false, true);
            line.points().forEach(point -> series.add(point[0], point[1]));
            if (!series.isEmpty()) {
                data.addSeries(series);
            }
        }
        return data;
    }

    private static void styleAxes(XYPlot plot) {
        plot.setBackgroundPaint(Color.WHITE);
        plot.setOutlineVisible(false);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.getRangeAxis().setLabelFont(LABEL_FONT);
        plot.getDomainAxis().setLabelFont(LABEL_FONT);
        plot.getDomainAxis().setStandardTickUnits(NumberAxis.createIntegerTickUnits());
    }

    private static XYLineAndShapeRenderer renderer(XYSeriesCollection data) {
        // A line of a single point shows nothing without a shape.
        XYLineAndShapeRenderer renderer =
                new XYLineAndShapeRenderer(true, data.getItemCount(0) == 1);
        for (int i = 0; i < data.getSeriesCount(); i++) {
            renderer.setSeriesPaint(i, LINE_COLOURS[i % LINE_COLOURS.length]);
            renderer.setSeriesStroke(i, new BasicStroke(1.6f));
        }
        return renderer;
    }

    private String svg(JFreeChart chart) {
        SVGGraphics2D svg = new SVGGraphics2D(WIDTH, HEIGHT);
        // The default depends on the time, and the same days must give the same bytes.
        svg.setDefsKeyPrefix("c" + chartCount + "-");
        chartCount++;
        chart.draw(svg, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
        return svg.getSVGElement(
                "c" + chartCount, true, new ViewBox(0, 0, WIDTH, HEIGHT), null, null);
    }
}
