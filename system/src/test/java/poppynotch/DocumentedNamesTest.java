package poppynotch;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * What the pages put in backquotes exists: names of types and constants stand in the sources or the
 * deploy files, and paths of files are there.
 */
class DocumentedNamesTest {

    private static final Path ROOT = Path.of("..");

    /** Pages that tell of the past, or of names that were replaced. */
    private static final Set<String> HISTORY = Set.of("glossary.md", "postmortems.md");

    private static final Pattern QUOTED = Pattern.compile("`([^`\n]+)`");

    /** Two capitalized words or more in one, as types are named: {@code ServerPool}. */
    private static final Pattern TYPE = Pattern.compile("\\b[A-Z][a-z0-9]+(?:[A-Z][a-z0-9]+)+\\b");

    /** Constants and the longer names of methods, as tests have them. */
    private static final Pattern MEMBER =
            Pattern.compile("\\b(?:[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+|[a-z]+(?:[A-Z][a-z0-9]*){3,})\\b");

    private static final Pattern PATH =
            Pattern.compile("[A-Za-z][\\w.-]*(?:/[\\w.-]+)+\\.(?:md|java|toml|sh|xml|yaml|txt)");
    private static final Pattern WORD = Pattern.compile("[A-Za-z][A-Za-z0-9_]*");

    private static List<Path> files(Path folder, String... endings) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(file -> Stream.of(endings).anyMatch(file.toString()::endsWith))
                    .filter(file -> !file.toString().contains("/target/"))
                    .filter(file -> !file.toString().contains("/journal/"))
                    .toList();
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<Path> pages() throws IOException {
        List<Path> pages = new ArrayList<>(files(ROOT.resolve("docs"), ".md"));
        pages.removeIf(page -> HISTORY.contains(page.getFileName().toString()));
        pages.add(ROOT.resolve("README.md"));
        return pages;
    }

    /** All words of the sources, with the names of their files, settings and experiments. */
    private static Set<String> known() throws IOException {
        Set<String> words = new HashSet<>();
        for (Path file : files(ROOT, ".java", ".toml", ".yaml", ".xml")) {
            WORD.matcher(read(file)).results().forEach(word -> words.add(word.group()));
        }
        return words;
    }

    /** Names in backquotes that the pattern finds and the sources do not have. */
    private static List<String> unknown(Pattern pattern) throws IOException {
        Set<String> known = known();
        List<String> unknown = new ArrayList<>();
        for (Path page : pages()) {
            for (Matcher quoted = QUOTED.matcher(read(page)); quoted.find(); ) {
                pattern.matcher(quoted.group(1))
                        .results()
                        .filter(name -> !known.contains(name.group()))
                        .forEach(name -> unknown.add(page.getFileName() + ": " + name.group()));
            }
        }
        return unknown;
    }

    @Test
    void typesInBackquotesExist() throws IOException {
        assertThat(unknown(TYPE)).isEmpty();
    }

    @Test
    void constantsAndTestsInBackquotesExist() throws IOException {
        assertThat(unknown(MEMBER)).isEmpty();
    }

    @Test
    void filesInBackquotesExist() throws IOException {
        List<String> missing = new ArrayList<>();
        for (Path page : pages()) {
            for (Matcher quoted = QUOTED.matcher(read(page)); quoted.find(); ) {
                String path = quoted.group(1);
                if (PATH.matcher(path).matches() && !exists(page, path)) {
                    missing.add(page.getFileName() + ": " + path);
                }
            }
        }
        assertThat(missing).isEmpty();
    }

    private static boolean exists(Path page, String path) {
        return Files.exists(ROOT.resolve(path)) || Files.exists(page.resolveSibling(path));
    }
}
