package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import poppynotch.fleet.controller.RolloutControllerProcess;
import poppynotch.fleet.controller.RolloutPlanReader;
import poppynotch.fleet.host.FleetSettings;
import poppynotch.fleet.rollout.RolloutPlan;
import poppynotch.fleet.wire.Addresses;

/**
 * The subcommand {@code release}: runs a rollout's controller, shows a rollout, and controls it.
 */
@Command(
        name = "release",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Rolls out a new version of servers in stages; a release can be halted and rolled"
                        + " back.",
        subcommands = {
            RolloutCommand.Start.class,
            RolloutCommand.Status.class,
            RolloutCommand.Halt.class,
            RolloutCommand.Resume.class,
            RolloutCommand.Back.class
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  fleet release start plan.yaml --config conductor.json",
            "  fleet release status --door 127.0.0.1:9200",
            "  fleet release back --door 127.0.0.1:9200"
        })
final class RolloutCommand {

    private RolloutCommand() {}

    /** Runs a rollout's controller until the process is terminated. */
    @Command(
            name = "start",
            mixinStandardHelpOptions = true,
            description =
                    "Runs a conductor (rollout controller) until SIGTERM. Start it on several"
                            + " machines: one is active, and another one continues if it stops.")
    static final class Start extends ServerProcessCommand {
        @Parameters(
                paramLabel = "PLAN",
                description = "The plan as a YAML file, which is read only at the start.")
        private Path planFile;

        @Option(
                names = "--config",
                paramLabel = "FILE",
                required = true,
                description =
                        "JSON file with name, management (admin address) and fleet (with keepers).")
        private Path settingsFile;

        @Override
        public Integer call() throws IOException, InterruptedException {
            RolloutPlan plan = RolloutPlanReader.read(planFile);
            RolloutControllerProcess process = startProcess(plan);
            return awaitShutdown(process::stop);
        }

        private RolloutControllerProcess startProcess(RolloutPlan plan) throws IOException {
            Map<?, ?> settings = new ObjectMapper().readValue(settingsFile.toFile(), Map.class);
            if (!(settings.get("name") instanceof String name)
                    || !(settings.get("management") instanceof String adminAddress)
                    || !Addresses.isAddress(adminAddress)
                    || !(settings.get("fleet") instanceof Map<?, ?> fleet)) {
                throw new IllegalArgumentException(
                        settingsFile + ": name, management or fleet is missing or bad");
            }
            return RolloutControllerProcess.start(
                    plan, FleetSettings.of(fleet), name, Addresses.of(adminAddress), logPrinter());
        }
    }

    /** Shows a rollout. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Shows the progress of a release.")
    static final class Status extends AdminRequest {
        @Option(names = "--json", description = "Prints the conductor's response as JSON.")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            JsonNode status = adminClient().requestJson("release");
            if (json) {
                out().println(status.toPrettyString());
            } else if (status.path("waits").asBoolean()) {
                printStandby(status);
            } else {
                printRollout(status);
            }
            out().flush();
            return 0;
        }

        private void printStandby(JsonNode status) {
            String holder = status.path("holder").asText();
            out().println(
                            "release "
                                    + status.path("release").asText()
                                    + ": this process waits; "
                                    + (holder.isEmpty() ? "nobody" : holder)
                                    + " conducts");
        }

        private void printRollout(JsonNode status) {
            out().printf(
                            Locale.ROOT,
                            "release %s: %s, stage %d, %.1f %% of the calls: %s%n",
                            status.path("release").asText(),
                            status.path("phase").asText(),
                            status.path("stage").asInt(),
                            status.path("part").asDouble() * 100,
                            status.path("why").asText());
            out().printf(
                            Locale.ROOT,
                            "failed: %s; slow: %s; evidence of harm %.0f %% of what is needed%n",
                            status.path("failures").asText(),
                            status.path("slow").asText(),
                            Math.max(0, status.path("evidence").asDouble()) * 100);
            out().printf(
                            Locale.ROOT,
                            "this stage: %d of %d calls, %d s; %d of %d processes are heard%n",
                            status.path("calls_this_stage").asLong(),
                            status.path("calls_wanted").asLong(),
                            status.path("baked_ms").asLong() / 1000,
                            status.path("heard").asInt(),
                            status.path("serving").asInt());
        }
    }

    /** Halts a rollout at its stage. */
    @Command(
            name = "halt",
            mixinStandardHelpOptions = true,
            description = "Halts a release at its current stage.")
    static final class Halt extends AdminRequest {
        @Override
        public Integer call() throws IOException {
            return sendAndPrint("release-halt");
        }
    }

    /** Resumes a halted rollout. */
    @Command(
            name = "resume",
            mixinStandardHelpOptions = true,
            description = "Resumes a halted release.")
    static final class Resume extends AdminRequest {
        @Override
        public Integer call() throws IOException {
            return sendAndPrint("release-resume");
        }
    }

    /** Rolls back a rollout. */
    @Command(
            name = "back",
            mixinStandardHelpOptions = true,
            description = "Rolls a release back: the new version receives no more calls.")
    static final class Back extends AdminRequest {
        @Override
        public Integer call() throws IOException {
            return sendAndPrint("release-back");
        }
    }
}
