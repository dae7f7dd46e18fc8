package poppynotch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Holds which part may use which, as docs/system.md tells. */
class ArchitectureTest {

    private static final JavaClasses ALL =
            new ClassFileImporter()
                    .importPaths(
                            Path.of("../canary/target/classes"),
                            Path.of("../register/target/classes"),
                            Path.of("../transport/target/classes"),
                            Path.of("target/classes"));

    private static final String STATE_MACHINES =
            "poppynotch\\.(pool\\..*|rollout\\..*"
                    + "|control\\.(RegisterReplica|ServerRegistry|EdgeDirectory|QuorumContact"
                    + "|AcceptorSetPlanner|AcceptorSetManager|ControlPlaneNode|LongPollService"
                    + "|RegistryReplicator|DepartureJournal|RoleElection|ConfigChange|QuorumLease"
                    + "|HeartbeatExchange|PeerMessageHandler|Rollout|ServingVersion|ApiCallLog).*"
                    + "|router\\.(ServerDirectory|QuotaUsageTracker|ControlClient|ControlLink"
                    + "|ControlPlaneReplicas|IdleConnectionPolicy|RetryPolicy"
                    + "|RolloutReportSchedule).*)";

    @Test
    void packagesHaveNoCycles() {
        slices().matching("poppynotch.(*)..").should().beFreeOfCycles().check(ALL);
    }

    @Test
    void theRegisterUsesTheLanguageAlone() {
        classes()
                .that()
                .resideInAPackage("poppynotch.register..")
                .should()
                .onlyDependOnClassesThat()
                .haveNameMatching("java\\..*|poppynotch\\.register\\..*|\\[.*")
                .check(ALL);
    }

    @Test
    void stateMachinesDoNoInputOrOutput() {
        noClasses()
                .that()
                .haveNameMatching(STATE_MACHINES)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..", "java.net..", "java.nio.file..", "java.nio.channels..")
                .check(ALL);
    }

    @Test
    void stateMachinesAreToldTheTime() {
        noClasses()
                .that()
                .haveNameMatching(STATE_MACHINES + "|poppynotch\\.register\\..*")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    @Test
    void whatServesKnowsNothingOfTrials() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "poppynotch.control..", "poppynotch.router..", "poppynotch.pool..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "poppynotch.demo..",
                        "poppynotch.scale..",
                        "poppynotch.simulation..",
                        "poppynotch.app..")
                .check(ALL);
    }

    @Test
    void theSystemAndTheSidecarInServiceShareTheTransportAlone() {
        noClasses()
                .that()
                .resideInAPackage("poppynotch..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "poppynotch.balancer..",
                        "poppynotch.benchlink..",
                        "poppynotch.fleet..",
                        "poppynotch.lab..",
                        "poppynotch.sidecar..")
                .check(ALL);
    }
}
