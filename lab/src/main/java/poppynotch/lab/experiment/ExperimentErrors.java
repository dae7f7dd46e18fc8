package poppynotch.lab.experiment;

import java.util.ArrayList;
import java.util.List;

/** What is wrong with an experiment's file: every fault found, each with its key and its reason. */
public final class ExperimentErrors extends Exception {

    private static final long serialVersionUID = 1;
    private final transient List<String> lines;

    ExperimentErrors(String file, List<String> faults) {
        super(file + ": " + String.join("; ", faults));
        lines = new ArrayList<>();
        faults.forEach(fault -> lines.add(file + ": " + fault));
    }

    /** One line for each fault: file, key and reason. */
    public List<String> lines() {
        return List.copyOf(lines);
    }
}
