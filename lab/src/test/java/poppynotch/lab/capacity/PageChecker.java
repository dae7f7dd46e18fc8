package poppynotch.lab.capacity;

import java.io.IOException;
import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import poppynotch.lab.report.ScaleResults;

/**
 * Checks a page of figures against the results of the runs that measured them, line by line. One
 * for each page, used by one thread.
 *
 * <p>A figure is a link to a file of results, whose title says which one it is, as {@code [612
 * B/s](capacity/fleet.json "idle.sidecar.bytes_out@430")}: a key and, but for size 0, a size; after
 * them, where it is not the value itself, {@code low}, {@code high} or {@code slope}, or {@code
 * room 19 KB/s} for the part of a limit that is left. What is printed must be what the file holds,
 * rounded to the digits printed. In a table, a column whose head says {@code worked out} or {@code
 * measured} holds no other numbers than such figures of that kind. Elsewhere the same line says one
 * of these words.
 */
final class PageChecker {

    private static final String JSON = ".json";
    private static final Pattern LINK =
            Pattern.compile("\\[([^\\]]*)]\\(([^)\\s]*)(?:\\s+\"([^\"]*)\")?\\s*\\)");
    private static final Pattern TITLE =
            Pattern.compile(
                    "([a-z0-9_.]+)(?:@(\\d+))?(?: (low|high|slope)| room (\\d+(?:\\.\\d+)?)"
                            + " (\\S.*))?");
    private static final Pattern PRINTED =
            Pattern.compile("(-?(?:\\d{1,3}(?:,\\d{3})+|\\d+)(?:\\.\\d+)?)(?: (\\S.*))?");
    private static final Pattern SEPARATOR = Pattern.compile("\\|(?:\\s*:?-+:?\\s*\\|)+\\s*");
    private static final Pattern NOT_MEASURED = Pattern.compile("not measured(?: yet)?");
    private static final Pattern KIND_WORDS = Pattern.compile("\\bmeasured\\b|\\bworked out\\b");
    private static final Pattern DIGIT = Pattern.compile("\\d");

    /**
     * By the file's unit: the units that a page may use, with the factor from each to the file's.
     */
    private static final Map<String, Map<String, String>> UNITS =
            Map.of(
                    "B/s", Map.of("B/s", "1", "KB/s", "1000", "MB/s", "1000000"),
                    "B", Map.of("B", "1", "KB", "1000", "MB", "1000000"),
                    "MB", Map.of("MB", "1", "KB", "0.001", "B", "0.000001"),
                    "1/s", Map.of("/s", "1", "1/s", "1", "a second", "1"),
                    "s", Map.of("s", "1", "ms", "0.001"),
                    "ms", Map.of("ms", "1", "s", "1000"),
                    "core",
                            Map.of(
                                    "of a core",
                                    "1",
                                    "core",
                                    "1",
                                    "cores",
                                    "1",
                                    "% of a core",
                                    "0.01"),
                    "part", Map.of("", "1", "%", "0.01"),
                    "count", Map.of("", "1"));

    private final Path folder;
    private final Map<Path, ScaleResults> resultsByFile = new HashMap<>();
    private final Map<String, Integer> cellsByKind = new HashMap<>();
    private final List<String> problems = new ArrayList<>();
    private int lineNumber;

    /** Checks a page that stands in a folder; its links are relative to that. */
    PageChecker(Path folder) {
        this.folder = folder;
    }

    /** Returns all problems, one line each. */
    List<String> check(List<String> page) {
        List<String> heads = List.of();
        for (int i = 0; i < page.size(); i++) {
            lineNumber = i + 1;
            String text = page.get(i).strip();
            boolean isRow = text.startsWith("|");
            if (!isRow) {
                heads = List.of();
                checkProse(text);
            } else if (i + 1 < page.size()
                    && SEPARATOR.matcher(page.get(i + 1).strip()).matches()) {
                heads = cellsOf(text);
                checkProse(text);
            } else if (!SEPARATOR.matcher(text).matches()) {
                checkRow(text, heads);
            }
        }
        return List.copyOf(problems);
    }

    /** How many cells were in columns whose head names that kind. */
    int cells(String kind) {
        return cellsByKind.getOrDefault(kind, 0);
    }

    private void addProblem(String what) {
        problems.add("line " + lineNumber + ": " + what);
    }

    private static List<String> cellsOf(String row) {
        boolean isClosed = row.length() > 1 && row.endsWith("|");
        String inner = row.substring(1, isClosed ? row.length() - 1 : row.length());
        List<String> cells = new ArrayList<>();
        for (String cell : inner.split("(?<!\\\\)\\|", -1)) {
            cells.add(cell.strip());
        }
        return cells;
    }

    private static String kindOf(String head) {
        String words = NOT_MEASURED.matcher(head.toLowerCase(Locale.ROOT)).replaceAll("");
        if (words.contains("worked out")) {
            return ScaleResults.EXTRAPOLATED;
        }
        return words.contains("measured") ? ScaleResults.MEASURED : null;
    }

    private void checkRow(String text, List<String> heads) {
        List<String> row = cellsOf(text);
        if (row.size() != heads.size()) {
            addProblem("a row of " + row.size() + " cells under " + heads.size() + " heads");
            return;
        }
        for (int i = 0; i < row.size(); i++) {
            String kind = kindOf(heads.get(i));
            if (kind == null) {
                // The row's other cells may state the kind.
                checkFigures(row.get(i), text, text.indexOf(row.get(i)));
            } else {
                cellsByKind.merge(kind, 1, Integer::sum);
                checkCell(row.get(i), kind);
            }
        }
    }

    private void checkCell(String cell, String kind) {
        Matcher links = LINK.matcher(cell);
        StringBuilder rest = new StringBuilder();
        while (links.find()) {
            if (isFigure(links)) {
                checkFigure(links, kind);
                links.appendReplacement(rest, " ");
            }
        }
        links.appendTail(rest);
        String left = NOT_MEASURED.matcher(rest).replaceAll(" ");
        if (DIGIT.matcher(left).find()) {
            addProblem("a number that is no figure of a run: " + left.strip());
        } else if (cell.isEmpty()) {
            addProblem(
                    "an empty cell where a figure, or the words \"not measured yet\", should be");
        }
    }

    private void checkProse(String text) {
        checkFigures(text, text, 0);
    }

    /** Checks figures outside of a column for them: the line itself must state their kind. */
    private void checkFigures(String part, String whole, int from) {
        Matcher links = LINK.matcher(part);
        while (links.find()) {
            if (isFigure(links)) {
                checkFigure(links, statedKind(whole, from + links.start()));
            }
        }
    }

    /**
     * Returns the kind that the last of the two words before a position in a line names, else the
     * first one after it; null if there is none.
     */
    private static String statedKind(String text, int at) {
        Matcher not = NOT_MEASURED.matcher(text.toLowerCase(Locale.ROOT));
        Matcher words =
                KIND_WORDS.matcher(not.replaceAll(found -> " ".repeat(found.group().length())));
        String kind = null;
        while (words.find() && (kind == null || words.start() < at)) {
            kind =
                    words.group().equals("measured")
                            ? ScaleResults.MEASURED
                            : ScaleResults.EXTRAPOLATED;
        }
        return kind;
    }

    private static boolean isFigure(Matcher link) {
        return link.group(2).endsWith(JSON);
    }

    private void checkFigure(Matcher link, String kind) {
        String printed = link.group(1);
        Matcher title = TITLE.matcher(link.group(3) == null ? "" : link.group(3));
        if (!title.matches()) {
            addProblem(printed + " has no title that names a figure: " + link.group(3));
            return;
        }
        ScaleResults results = results(link.group(2));
        if (results == null) {
            return;
        }
        int size = title.group(2) == null ? 0 : Integer.parseInt(title.group(2));
        ScaleResults.Figure figure = results.find(title.group(1), size).orElse(null);
        if (figure == null) {
            addProblem(link.group(2) + " has no " + title.group(1) + " at size " + size);
            return;
        }
        if (kind == null) {
            addProblem(printed + " does not say on its line whether it is measured or worked out");
        } else if (!kind.equals(figure.kind())) {
            addProblem(
                    printed
                            + " is said to be "
                            + kind
                            + ", but "
                            + figure.key()
                            + " is "
                            + figure.kind());
        }
        Double value = value(figure, title);
        if (value == null) {
            addProblem(figure.key() + " at size " + size + " has no " + title.group(3));
        } else {
            compare(printed, figure, title, BigDecimal.valueOf(value));
        }
    }

    private static Double value(ScaleResults.Figure figure, Matcher title) {
        return switch (String.valueOf(title.group(3))) {
            case "low" -> figure.low();
            case "high" -> figure.high();
            case "slope" -> figure.fit() == null ? null : (Double) figure.fit().slope();
            default -> (Double) figure.value();
        };
    }

    private void compare(String text, ScaleResults.Figure figure, Matcher title, BigDecimal value) {
        Matcher printed = PRINTED.matcher(text.strip());
        if (!printed.matches()) {
            addProblem(text + " is no number with a unit");
            return;
        }
        boolean isRoom = title.group(4) != null;
        BigDecimal expected = isRoom ? room(figure.unit(), title, value) : value;
        if (expected == null) {
            return;
        }
        String unit = isRoom ? "part" : figure.unit();
        String factor = UNITS.get(unit).get(printed.group(2) == null ? "" : printed.group(2));
        if (factor == null) {
            addProblem(text + " is in no unit that " + unit + " can be told in");
            return;
        }
        BigDecimal printedValue = new BigDecimal(printed.group(1).replace(",", ""));
        BigDecimal exact = expected.divide(new BigDecimal(factor), MathContext.DECIMAL128);
        if (!isRounded(printedValue, exact)) {
            addProblem(
                    text
                            + " is "
                            + exact.round(new MathContext(6)).toPlainString()
                            + " in its file ("
                            + title.group()
                            + ")");
        }
    }

    /** The fraction of the title's limit that is left; null, with a problem, for no valid limit. */
    private BigDecimal room(String unit, Matcher title, BigDecimal value) {
        String factor = UNITS.get(unit).get(title.group(5));
        BigDecimal limit =
                factor == null
                        ? BigDecimal.ZERO
                        : new BigDecimal(title.group(4)).multiply(new BigDecimal(factor));
        if (limit.signum() == 0) {
            addProblem(title.group(4) + " " + title.group(5) + " is no limit for " + unit);
            return null;
        }
        return BigDecimal.ONE.subtract(value.divide(limit, MathContext.DECIMAL128));
    }

    /** Whether a value is printed with correct rounding; 0 may be printed for an exact 0 only. */
    private static boolean isRounded(BigDecimal printedValue, BigDecimal exact) {
        BigDecimal rounded = exact.setScale(printedValue.scale(), RoundingMode.HALF_UP);
        boolean hidesValue = rounded.signum() == 0 && exact.signum() != 0;
        return rounded.compareTo(printedValue) == 0 && !hidesValue;
    }

    private ScaleResults results(String link) {
        Path file = folder.resolve(link).normalize();
        if (!file.startsWith(folder.resolve("capacity").normalize())) {
            addProblem(link + " is not within capacity/");
            return null;
        }
        if (!resultsByFile.containsKey(file)) {
            try {
                resultsByFile.put(file, ScaleResults.read(file));
            } catch (IOException | IllegalArgumentException e) {
                addProblem(e.getMessage());
                return null;
            }
        }
        return resultsByFile.get(file);
    }
}
