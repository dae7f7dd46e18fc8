package poppynotch.lab.report;

import java.util.List;

/** Builds an HTML page that loads nothing else; all texts are escaped. For one thread. */
final class Page {

    private static final String STYLE =
            """
body { font: 14px/1.5 system-ui, sans-serif; max-width: 1180px; margin: 2em auto; padding: 0 1em;
  color: #222; }
h1 { font-size: 1.5em; }
h2 { font-size: 1.15em; margin-top: 2em; border-bottom: 1px solid #ccc; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { padding: 0.2em 0.7em; text-align: right; border-bottom: 1px solid #ddd; }
td, th { white-space: nowrap; }
td:first-child, th:first-child { text-align: left; }
th { background: #f4f4f4; }
li { font-family: monospace; }
.plots { display: flex; flex-wrap: wrap; gap: 12px; }
.wide { overflow-x: auto; }
""";

    private final String title;
    private final StringBuilder body = new StringBuilder();

    /** Whether the element that lays plots out in rows is open. */
    private boolean plotsOpen;

    Page(String title) {
        this.title = title;
        body.append("<h1>").append(escaped(title)).append("</h1>\n");
    }

    static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private void closePlots() {
        if (plotsOpen) {
            body.append("</div>\n");
            plotsOpen = false;
        }
    }

    void heading(String text) {
        closePlots();
        body.append("<h2>").append(escaped(text)).append("</h2>\n");
    }

    void paragraph(String text) {
        closePlots();
        body.append("<p>").append(escaped(text)).append("</p>\n");
    }

    void list(List<String> lines) {
        closePlots();
        body.append("<ul>\n");
        lines.forEach(line -> body.append("<li>").append(escaped(line)).append("</li>\n"));
        body.append("</ul>\n");
    }

    void table(List<String> head, List<List<String>> rows) {
        closePlots();
        body.append("<div class=\"wide\"><table>\n<tr>");
        head.forEach(cell -> body.append("<th>").append(escaped(cell)).append("</th>"));
        body.append("</tr>\n");
        for (List<String> row : rows) {
            body.append("<tr>");
            row.forEach(cell -> body.append("<td>").append(escaped(cell)).append("</td>"));
            body.append("</tr>\n");
        }
        body.append("</table></div>\n");
    }

    /** Adds a plot next to the ones before it; an empty one is left out. */
    void plot(String svg) {
        if (svg.isEmpty()) {
            return;
        }
        if (!plotsOpen) {
            body.append("<div class=\"plots\">\n");
            plotsOpen = true;
        }
        body.append(svg).append('\n');
    }

    /** Returns the complete page. */
    String html() {
        closePlots();
        return "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\"><title>"
                + escaped(title)
                + "</title>\n<style>\n"
                + STYLE
                + "</style></head>\n<body>\n"
                + body
                + "</body>\n</html>\n";
    }
}
