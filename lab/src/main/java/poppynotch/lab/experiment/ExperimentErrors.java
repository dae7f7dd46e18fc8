package poppynotch.lab.experiment;

import java.util.ArrayList;
import java.util.List;

/** What is wrong with an experiment's file: every fault found, each with its key and its reason. */
public final class ExperimentErrors extends Exception {

    private static final long serialVersionUID = 1;
    private final transient List<String> lines;

    ExperimentErrors(String file, List<String> errors) {
        super(file + ": " + String.join("; ", errors));
        lines = new ArrayList<>();
        errors.forEach(error -> lines.add(file + ": " + error));
    }

    /** One line for each error: file, key and reason. */
    public List<String> lines() {
        return List.copyOf(lines);
    }
}
