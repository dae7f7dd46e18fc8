package poppynotch.lab.drill;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The description of a drill, as its YAML file has it: a day of the lab on real processes, with
 * faults that are injected into them and the links between them. Immutable.
 *
 * @param name of the drill and of its fleet
 * @param about a sentence on its purpose
 * @param experiment name of the experiment that is the day
 * @param set keys of the experiment that the drill changes, with their values
 * @param healSeconds after the last fault all processes must see the same view within this
 * @param share whether the processes share observations and quotas
 * @param faults to inject beside the experiment's own
 */
public record DrillPlan(
        String name,
        String about,
        String experiment,
        Map<String, String> set,
        double healSeconds,
        boolean share,
        List<LinkFault> faults) {

    private static final YAMLMapper YAML =
            YAMLMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    /** Kinds of faults that drills add to those of experiments. */
    public enum Kind {
        /** Processes are paused (SIGSTOP) and resumed (SIGCONT). */
        PAUSE,
        /** Partition: nothing passes between these processes and the others. */
        CUT,
        /** One-way partition: nothing passes from these processes to the others. */
        MUTE,
        /** Datagrams between all are lost; the value is the fraction. */
        LOSS,
        /** All messages are delayed; the value is in milliseconds. */
        DELAY
    }

    /**
     * One fault.
     *
     * @param kind of the fault
     * @param at seconds from the start of the day
     * @param lasts duration in seconds
     * @param zone whose processes it affects, or null
     * @param part fraction of all processes that it affects without a zone, one at least; 0 for all
     * @param value of a loss (fraction) or a delay (milliseconds)
     */
    public record LinkFault(
            Kind kind, double at, double lasts, String zone, double part, double value) {}

    /**
     * Checks the required keys.
     *
     * @throws IllegalArgumentException if one is missing or a time is negative
     */
    public DrillPlan {
        if (name == null || experiment == null) {
            throw new IllegalArgumentException("a drill needs name and experiment");
        }
        set = set == null ? Map.of() : set;
        faults = faults == null ? List.of() : faults;
        about = about == null ? "" : about;
        for (LinkFault fault : faults) {
            if (fault.kind() == null || fault.at() < 0 || fault.lasts() <= 0) {
                throw new IllegalArgumentException(
                        "a fault needs kind, at (seconds) and lasts (above 0)");
            }
        }
    }

    /** Names of the drills that come with the lab. */
    public static List<String> shipped() throws IOException {
        try (InputStream in = DrillPlan.class.getResourceAsStream("/drills/index.txt")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /**
     * Reads a drill.
     *
     * @param nameOrFile name of one that comes with the lab, or a path
     * @throws IllegalArgumentException if there is none, or it is malformed
     */
    public static DrillPlan read(String nameOrFile) throws IOException {
        byte[] text;
        if (shipped().contains(nameOrFile)) {
            try (InputStream in =
                    DrillPlan.class.getResourceAsStream("/drills/" + nameOrFile + ".yaml")) {
                text = in.readAllBytes();
            }
        } else if (Files.exists(Path.of(nameOrFile))) {
            text = Files.readAllBytes(Path.of(nameOrFile));
        } else {
            throw new IllegalArgumentException(
                    "there is no drill and no file "
                            + nameOrFile
                            + "; drills are "
                            + String.join(", ", shipped()));
        }
        try {
            return YAML.readValue(text, DrillPlan.class);
        } catch (JsonMappingException e) {
            throw new IllegalArgumentException(
                    nameOrFile
                            + ": "
                            + e.getOriginalMessage().lines().findFirst().orElse("")
                            + " at "
                            + e.getPathReference().replaceAll(".*DrillPlan", ""),
                    e);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    nameOrFile + " is not YAML: " + e.getOriginalMessage(), e);
        }
    }

    /** When the last fault ends, in seconds from the start of the day. */
    double lastFaultEndSeconds() {
        return faults.stream().mapToDouble(fault -> fault.at() + fault.lasts()).max().orElse(0);
    }
}
