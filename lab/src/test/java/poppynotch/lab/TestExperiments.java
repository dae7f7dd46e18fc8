package poppynotch.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.experiment.ExperimentReader;

/** Small experiments for tests. */
public final class TestExperiments {

    private static final String SMALL_EXPERIMENT =
            """
name: small
duration: 6s
world:
  zones: [a, b]
  sidecars: 2
  tiers:
    one: {nodos: 4, work: 0.5, cell-size: 2}
    two: {nodos: 4, work: 0.5, calls: 1..2, cell-size: 2}
  classes:
    read: {share: 0.7, work: 20ms, spread: 0, aim: 500ms, deadline: 1500ms}
    save: {share: 0.2, work: 20ms, spread: 0, aim: 500ms, deadline: 1500ms, effect: by-key,
           group: cell, window: 4s}
    once: {share: 0.1, work: 20ms, spread: 0, aim: 500ms, deadline: 1500ms, effect: once}
  discovery: {notice: 300ms..600ms}
  clients: {load: 0.4}
""";

    private TestExperiments() {}

    /**
     * Returns an experiment with two tiers.
     *
     * @param faults entries of the YAML list {@code troubles}, or an empty string
     * @param changes pairs of a key and the value that replaces the file's
     */
    public static Experiment smallExperiment(String faults, String... changes) throws Exception {
        Map<String, String> set = new LinkedHashMap<>();
        for (int i = 0; i < changes.length; i += 2) {
            set.put(changes[i], changes[i + 1]);
        }
        Path file = Files.createTempFile("small", ".yaml");
        try {
            Files.writeString(
                    file,
                    SMALL_EXPERIMENT + (faults.isEmpty() ? "" : "troubles:\n" + faults.indent(2)));
            return ExperimentReader.read("small", ExperimentReader.tree(file.toString(), set));
        } catch (IOException e) {
            throw new AssertionError(e);
        } finally {
            Files.delete(file);
        }
    }
}
