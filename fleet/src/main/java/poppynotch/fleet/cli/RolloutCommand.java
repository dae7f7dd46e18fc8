package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import poppynotch.fleet.controller.RolloutControllerProcess;
import poppynotch.fleet.controller.RolloutPlanReader;
import poppynotch.fleet.host.FleetSettings;
import poppynotch.fleet.rollout.RolloutPlan;
import poppynotch.fleet.wire.Addresses;

/** Conducts a release of servers, and says how it goes. */
@Command(
        name = "release",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Takes a new version of servers to the fleet in stages, with a halt and a way back.",
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

    /** Starts a conductor. */
    @Command(
            name = "start",
            mixinStandardHelpOptions = true,
            description =
                    "Runs a conductor until SIGTERM. Start it on several machines: one acts, and the next"
                            + " one goes on where it stopped.")
    static final class Start implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(
                paramLabel = "PLAN",
                description = "The plan, a YAML file; read once, at the start.")
        private Path plan;

        @Option(
                names = "--config",
                paramLabel = "FILE",
                required = true,
                description =
                        "JSON with name, management (the door's address) and fleet (with keepers).")
        private Path config;

        @Override
        public Integer call() throws IOException, InterruptedException {
            PrintWriter out = spec.commandLine().getOut();
            RolloutPlan read = RolloutPlanReader.read(plan);
            Map<?, ?> all = new ObjectMapper().readValue(config.toFile(), Map.class);
            if (!(all.get("name") instanceof String name)
                    || !(all.get("management") instanceof String door)
                    || !Addresses.isAddress(door)
                    || !(all.get("fleet") instanceof Map<?, ?> fleet)) {
                throw new IllegalArgumentException(
                        config + ": name, management or fleet is missing or bad");
            }
            InetSocketAddress address = Addresses.of(door);
            RolloutControllerProcess host =
                    RolloutControllerProcess.start(
                            read,
                            FleetSettings.of(fleet),
                            name,
                            address,
                            line -> {
                                synchronized (out) {
                                    out.println(line);
                                    out.flush();
                                }
                            });
            CountDownLatch ended = new CountDownLatch(1);
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(
                                    () -> {
                                        host.stop();
                                        ended.countDown();
                                    },
                                    "ender"));
            ended.await();
            return 0;
        }
    }

    /** Shows a release. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Shows how far a release is.")
    static final class Status extends AdminRequest {
        @Option(names = "--json", description = "As the conductor gives it, for machines.")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            JsonNode status = door().ask("release");
            if (json) {
                out().println(status.toPrettyString());
            } else if (status.path("waits").asBoolean()) {
                out().println(
                                "release "
                                        + status.path("release").asText()
                                        + ": this process waits; "
                                        + (status.path("holder").asText().isEmpty()
                                                ? "nobody"
                                                : status.path("holder").asText())
                                        + " conducts");
            } else {
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
            out().flush();
            return 0;
        }
    }

    /** Halts. */
    @Command(
            name = "halt",
            mixinStandardHelpOptions = true,
            description = "Stays at the present stage.")
    static final class Halt extends AdminRequest {
        @Override
        public Integer call() throws IOException {
            return tell("release-halt");
        }
    }

    /** Goes on. */
    @Command(
            name = "resume",
            mixinStandardHelpOptions = true,
            description = "Goes on after a halt.")
    static final class Resume extends AdminRequest {
        @Override
        public Integer call() throws IOException {
            return tell("release-resume");
        }
    }

    /** Goes back. */
    @Command(
            name = "back",
            mixinStandardHelpOptions = true,
            description = "The new version gets no calls any more.")
    static final class Back extends AdminRequest {
        @Override
        public Integer call() throws IOException {
            return tell("release-back");
        }
    }
}
