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
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.Layer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;
import poppynotch.lab.measure.Result;

/** Plots of days, as SVG text. */
final class Charts {

    private static final int WIDTH = 560;
    private static final int HEIGHT = 260;

    /** Colours that stay apart for most eyes, after Okabe and Ito. */
    private static final Color[] COLOURS = {
        new Color(0x0072B2),
        new Color(0xD55E00),
        new Color(0x009E73),
        new Color(0xCC79A7),
        new Color(0xE69F00),
        new Color(0x56B4E9),
        Color.DARK_GRAY,
        Color.BLACK
    };

    private static final Color SHADE = new Color(0xF3, 0xE3, 0xD3, 0x90);

    /** One line of a plot. */
    record Line(String name, List<double[]> points) {}

    private int charts;

    /** What each second of a day has of something; a figure below 0 is none. */
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
     * How calls are spread over a tier's nodos, from the busiest on: each as a part of the mean.
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

    /**
     * A plot over the seconds of a day, with its troubles shaded; nothing where no line has a
     * point.
     */
    String overTime(String title, String y, List<Line> lines, List<Result.Span> troubles) {
        return plot(title, "s", y, lines, troubles);
    }

    /** A plot over nodos, from the busiest on. */
    String overNodos(String title, String y, List<Line> lines) {
        return plot(title, "nodo", y, lines, List.of());
    }

    /** A plot over sizes of fleets. */
    String overSizes(String title, String y, List<Line> lines) {
        return plot(title, "members", y, lines, List.of());
    }

    /** A plot over anything; nothing where no line has a point. */
    String over(String title, String x, String y, List<Line> lines) {
        return plot(title, x, y, lines, List.of());
    }

    private String plot(
            String title, String x, String y, List<Line> lines, List<Result.Span> troubles) {
        XYSeriesCollection data = new XYSeriesCollection();
        for (Line line : lines) {
            XYSeries series = new XYSeries(line.name(), false, true);
            line.points().forEach(point -> series.add(point[0], point[1]));
            if (!series.isEmpty()) {
                data.addSeries(series);
            }
        }
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
        chart.getTitle().setFont(new Font(Font.SANS_SERIF, Font.BOLD, 13));
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setOutlineVisible(false);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.getRangeAxis().setLabelFont(new Font(Font.SANS_SERIF, Font.PLAIN, 11));
        plot.getDomainAxis().setLabelFont(new Font(Font.SANS_SERIF, Font.PLAIN, 11));
        plot.getDomainAxis().setStandardTickUnits(NumberAxis.createIntegerTickUnits());
        for (Result.Span trouble : troubles) {
            plot.addDomainMarker(
                    new IntervalMarker(trouble.from(), trouble.to(), SHADE), Layer.BACKGROUND);
        }
        XYLineAndShapeRenderer renderer =
                new XYLineAndShapeRenderer(true, data.getItemCount(0) == 1);
        for (int i = 0; i < data.getSeriesCount(); i++) {
            renderer.setSeriesPaint(i, COLOURS[i % COLOURS.length]);
            renderer.setSeriesStroke(i, new BasicStroke(1.6f));
        }
        plot.setRenderer(renderer);
        if (chart.getLegend() != null) {
            chart.getLegend().setFrame(org.jfree.chart.block.BlockBorder.NONE);
            chart.getLegend().setItemFont(new Font(Font.SANS_SERIF, Font.PLAIN, 11));
        }
        SVGGraphics2D svg = new SVGGraphics2D(WIDTH, HEIGHT);
        // The default is made of the time, and the same days must give the same bytes.
        svg.setDefsKeyPrefix("c" + charts++ + "-");
        chart.draw(svg, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
        return svg.getSVGElement(
                "c" + charts, true, new org.jfree.svg.ViewBox(0, 0, WIDTH, HEIGHT), null, null);
    }
}
