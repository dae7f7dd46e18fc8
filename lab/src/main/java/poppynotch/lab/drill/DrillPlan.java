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
 * A drill: a day of the lab's on real processes, in a fleet whose links go through relays.
 *
 * @param name what it is called
 * @param about what it shows, in a sentence
 * @param experiment the day, by the name of an experiment
 * @param set keys of the experiment that the drill changes, with their values
 * @param healSeconds within this after the last fault all must see one view
 * @param share whether the processes share what they see, and allowances
 * @param faults what befalls processes and links, beside the experiment's own troubles
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

    /** What a drill can do beside the troubles of experiments. */
    public enum Kind {
        /** Processes stand still (SIGSTOP, SIGCONT). */
        PAUSE,
        /** Nothing passes between these and the others. */
        CUT,
        /** Nothing passes from these to the others. */
        MUTE,
        /** Datagrams between all get lost, by the part that value tells. */
        LOSS,
        /** All messages take longer, by the milliseconds that value tells. */
        DELAY
    }

    /**
     * One fault.
     *
     * @param kind what it is
     * @param at seconds from the day's begin
     * @param lasts seconds
     * @param zone strikes the processes of a zone, or
     * @param part strikes this part of all processes, one at least; with neither it strikes all
     * @param value of a loss or a delay
     */
    public record LinkFault(
            Kind kind, double at, double lasts, String zone, double part, double value) {}

    /** Checks what must be there. */
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

    /** The drills that come with the lab. */
    public static List<String> shipped() throws IOException {
        try (InputStream in = DrillPlan.class.getResourceAsStream("/drills/index.txt")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /** Reads a drill by its name, or a file. */
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

    /** When the last of its faults is over, in seconds. */
    double lastFaultEndSeconds() {
        return faults.stream().mapToDouble(fault -> fault.at() + fault.lasts()).max().orElse(0);
    }
}
