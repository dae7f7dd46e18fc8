package poppynotch.lab.experiment;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The kinds of figures in an experiment's file, and how each is written there. */
enum Quantity {
    /** A time in milliseconds, written with its unit: {@code 250ms}, {@code 1.5s}, {@code 2m}. */
    DURATION("a time such as 250ms, 1.5s or 2m", Map.of("ms", 1.0, "s", 1000.0, "m", 60_000.0)),
    /** So many a second: {@code 200/s}. */
    RATE("a rate such as 200/s", Map.of("/s", 1.0)),
    /** A part or a factor, written without a unit. */
    NUMBER("a plain number", Map.of("", 1.0));

    private static final Pattern FORM = Pattern.compile("(-?\\d+(?:\\.\\d+)?)\\s*([a-z/%]*)");

    private final String form;
    private final Map<String, Double> units;

    Quantity(String form, Map<String, Double> units) {
        this.form = form;
        this.units = units;
    }

    /**
     * The figure in its base unit; a text that is none is an exception whose message says what is
     * wanted.
     */
    double parse(String text) {
        Matcher figure = FORM.matcher(text.trim());
        Double unit = figure.matches() ? units.get(figure.group(2)) : null;
        if (unit == null) {
            throw new IllegalArgumentException("should be " + form + " but is " + text);
        }
        return Double.parseDouble(figure.group(1)) * unit;
    }
}
