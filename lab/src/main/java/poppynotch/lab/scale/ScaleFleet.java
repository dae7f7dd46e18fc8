package poppynotch.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import poppynotch.lab.drill.FleetProcesses;
import poppynotch.lab.drill.FleetProcesses.ManagedProcess;
import poppynotch.lab.scale.HollowAnswers.Stats;
import poppynotch.lab.scale.HollowAnswers.Views;

/**
 * The processes of a scale run at one size: hollow members, real sidecars, sidecars without a
 * fleet, keepers and discovery. Members may be started and ended, and the fleet closed, from any
 * thread; all else is for one.
 */
final class ScaleFleet implements AutoCloseable {

    /** What a sidecar's log says of settings that are in force. */
    static final String TAKEN_UP = "a new configuration is taken up";

    private static final String FLEET = "scale";
    private static final String DUTY = "reader";
    private static final int SLO_MS = 500;
    private static final int THREADS = 4;

    /** Ports of the nodos in discovery's lists; nobody calls them. */
    private static final int NODO_PORT = 9000;

    private static final int END_SECONDS = 5;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ScaleSetup setup;
    private final Places places;
    private final Path folder;
    private final FleetProcesses processes;
    private final ListServer discovery;
    private final List<HollowProcess> hollow = new ArrayList<>();
    private final List<ManagedProcess> real = new ArrayList<>();
    private final List<ManagedProcess> plain = new ArrayList<>();
    private List<ManagedProcess> keepers = List.of();

    /** Names of the hollow members that run now. */
    private final Set<String> running = ConcurrentHashMap.newKeySet();

    /** All hollow processes are asked at once. */
    private final ExecutorService asking =
            Executors.newCachedThreadPool(new DefaultThreadFactory("asking", true));

    /**
     * None runs yet but discovery.
     *
     * @param folder for configurations, logs and the keepers' log; what an earlier run left there
     *     is deleted, as keepers found their group only once and a log must tell of one process
     */
    ScaleFleet(ScaleSetup setup, Places places, Path folder) throws IOException {
        this.setup = setup;
        this.places = places;
        delete(folder);
        this.folder = Files.createDirectories(folder);
        processes =
                new FleetProcesses(
                        folder,
                        setup.root(),
                        setup.keepers(),
                        Places.REAL_HOST,
                        FLEET,
                        Places.REAL_ZONE);
        List<List<ListServer.Server>> lists = new ArrayList<>();
        for (int i = 0; i < places.services(); i++) {
            lists.add(new ArrayList<>());
        }
        places.members()
                .forEach(
                        member ->
                                lists.get(member.service())
                                        .add(
                                                new ListServer.Server(
                                                        member.name(),
                                                        member.address() + ":" + NODO_PORT,
                                                        member.zone())));
        discovery = new ListServer(Places.REAL_HOST, List.copyOf(Places.REGIONS.keySet()), lists);
    }

    private static void delete(Path folder) throws IOException {
        if (Files.exists(folder)) {
            List<Path> all;
            try (Stream<Path> walk = Files.walk(folder)) {
                all = walk.sorted(Comparator.reverseOrder()).toList();
            }
            for (Path each : all) {
                Files.delete(each);
            }
        }
    }

    // ---- start ----

    /** Starts all processes but no hollow member. */
    void begin() throws IOException {
        keepers = processes.startRaftServers();
        for (int i = 0; i < setup.real(); i++) {
            real.add(processes.newProcess("real" + i));
        }
        List<String> seeds = new ArrayList<>();
        keepers.forEach(keeper -> seeds.add(keeper.memberAddress()));
        real.stream().limit(2).forEach(part -> seeds.add(part.memberAddress()));
        for (int from = 0; from < places.members().size(); from += setup.perProcess()) {
            List<Places.Member> own =
                    places.members()
                            .subList(
                                    from,
                                    Math.min(places.members().size(), from + setup.perProcess()));
            String name = "hollow-" + hollow.size();
            HollowProcess process = new HollowProcess(processes.newProcess(name), own);
            hollow.add(process);
            process.start(
                    setup.root().resolve("sidecar/target/poppynotch-sidecar.jar"),
                    Bounds.hollowHeapMb(own.size(), places.members().size()),
                    hollowConfig(name, own, seeds));
        }
        for (int i = 0; i < setup.real(); i++) {
            serve(
                    real.get(i),
                    i,
                    fleetSection(seeds)
                            .put("listen", real.get(i).memberAddress())
                            .put("zone", Places.REAL_ZONE)
                            .put("tier", "s" + service(i)));
        }
        for (int i = 0; i < setup.plain(); i++) {
            ManagedProcess part = processes.newProcess("plain" + i);
            plain.add(part);
            serve(part, i, null);
        }
    }

    private int service(int number) {
        return number % places.services();
    }

    private void serve(ManagedProcess part, int number, ObjectNode fleet) throws IOException {
        ObjectNode config = sidecarConfig((service(number) + 1) % places.services());
        config.put("name", part.name())
                .put("listen", part.clientAddress())
                .put("management", part.adminAddress())
                .put("seed", Integer.toHexString(number + 1));
        if (fleet != null) {
            config.set("fleet", fleet);
        }
        Path file = config(part);
        Files.write(file, JSON.writeValueAsBytes(config));
        part.start(
                new ProcessBuilder("/bin/sh", "-c", setup.sidecar())
                        .directory(setup.root().toFile()),
                file.toString());
    }

    private Path config(ManagedProcess part) {
        return folder.resolve(part.name() + ".json");
    }

    private ObjectNode fleetSection(List<String> seeds) {
        ObjectNode fleet = JSON.createObjectNode().put("name", FLEET).put("share", true);
        ArrayNode all = fleet.putArray("seeds");
        seeds.forEach(all::add);
        if (setup.keepers() > 0) {
            ArrayNode names = fleet.putArray("keepers");
            processes.raftServerNames().forEach(names::add);
        }
        return fleet;
    }

    /** A sidecar's whole configuration but what makes it itself. */
    private ObjectNode sidecarConfig(int calls) {
        ObjectNode config =
                JSON.createObjectNode()
                        .put(
                                "discovery",
                                discovery.address(calls, Places.region(Places.REAL_ZONE)));
        config.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
        config.putObject("known").put("version", 0).put("full", true).putArray("servers");
        ObjectNode settings = config.putObject("settings").put("membership-mode", "on_request");
        Places.zones().forEach(settings.putArray("azs")::add);
        settings.putArray("models").add("m1");
        ArrayNode classes = settings.putArray("classes");
        classes.addObject()
                .put("name", "read")
                .put("effect", "repeatable")
                .put("slo-ms", SLO_MS)
                .put("hard-limit-ms", 1000);
        classes.addObject()
                .put("name", "order")
                .put("effect", "once")
                .put("slo-ms", SLO_MS)
                .put("hard-limit-ms", 1000);
        settings.putArray("projects")
                .addObject()
                .put("name", "t1")
                .put("allowance-per-s", 1000)
                .put("share", 1);
        settings.putObject("limits")
                .put("dial-timeout-ms", 200)
                .put("idle-close-ms", 15000)
                .put("try-limit", 3);
        settings.putObject("rules");
        return config;
    }

    private ObjectNode hollowConfig(String name, List<Places.Member> own, List<String> seeds) {
        ObjectNode config =
                JSON.createObjectNode()
                        .put("name", name)
                        .put("door", "127.0.0.1:0")
                        .put("threads", THREADS);
        config.set("fleet", fleetSection(seeds));
        config.set("sidecar", sidecarConfig(own.get(0).calls()));
        ObjectNode network = config.putObject("network");
        ObjectNode regions = network.putObject("regions");
        Places.REGIONS.forEach((region, zones) -> zones.forEach(regions.putArray(region)::add));
        ObjectNode zones = network.putObject("zones");
        Places.zones().forEach(zone -> zones.put(zone, Places.prefix(zone)));
        // All else is some hollow member's, here or in another process, and was delayed as it was
        // sent.
        network.putArray("real")
                .add(Places.REAL_HOST.substring(0, Places.REAL_HOST.lastIndexOf('.') + 1));
        network.putObject("delay_ms").put("zone", 0.1).put("region", 0.5).put("regions", 30);
        ArrayNode members = config.putArray("members");
        for (Places.Member member : own) {
            ObjectNode one =
                    members.addObject()
                            .put("name", member.name())
                            .put("address", member.address())
                            .put("service", "s" + member.service())
                            .put(
                                    "discovery",
                                    discovery.address(
                                            member.calls(), Places.region(member.zone())));
            if (wantsDuty(member)) {
                one.putObject("duties").put(DUTY, 1);
            }
        }
        return config;
    }

    /** One member in each zone wants the one duty there is. */
    boolean wantsDuty(Places.Member member) {
        return setup.keepers() > 0 && places.members().indexOf(member) < Places.zones().size();
    }

    /** Whether all hollow processes listen; those that do have their members started at once. */
    boolean hollowBegun() throws IOException {
        boolean all = true;
        for (HollowProcess process : hollow) {
            boolean begun = running.contains(process.members().get(0).name());
            if (!begun && process.listens()) {
                process.ask("start");
                process.members().forEach(member -> running.add(member.name()));
                begun = true;
            }
            all &= begun;
        }
        return all;
    }

    // ---- what is done to it ----

    /** Starts hollow members that do not run. */
    void startMembers(List<String> names) throws IOException {
        tell("start", names);
        running.addAll(names);
    }

    /** Ends hollow members without a word. */
    void kill(List<String> names) throws IOException {
        tell("kill", names);
        names.forEach(running::remove);
    }

    /** Ends hollow members, which say that they go. */
    void leave(List<String> names) throws IOException {
        tell("leave", names);
        names.forEach(running::remove);
    }

    /** Ends hollow members without a word and starts them again, all at once. */
    void restart(List<String> names) throws IOException {
        all(
                process -> {
                    process.tell("kill", names);
                    process.tell("start", names);
                    return null;
                });
    }

    private void tell(String call, List<String> names) throws IOException {
        all(
                process -> {
                    process.tell(call, names);
                    return null;
                });
    }

    /** Something that all hollow processes are told, as cuts are. */
    void tellAll(String line) throws IOException {
        all(process -> process.ask(line));
    }

    /** What is asked of a hollow process. */
    private interface Question<T> {
        T ask(HollowProcess process) throws IOException;
    }

    private <T> List<T> all(Question<T> question) throws IOException {
        List<Future<T>> asked = new ArrayList<>();
        hollow.forEach(process -> asked.add(asking.submit(() -> question.ask(process))));
        List<T> answers = new ArrayList<>();
        try {
            for (Future<T> each : asked) {
                answers.add(each.get());
            }
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException io
                    ? io
                    : new IOException(e.getCause().toString(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
        return answers;
    }

    /** Gives the real sidecars other settings, as a file, and tells them so by SIGHUP. */
    void changeSettings(int by) throws IOException, InterruptedException {
        for (ManagedProcess part : real) {
            ObjectNode config = (ObjectNode) JSON.readTree(config(part).toFile());
            config.path("settings")
                    .path("classes")
                    .forEach(kind -> ((ObjectNode) kind).put("slo-ms", SLO_MS + by));
            Path next =
                    Files.write(
                            folder.resolve(part.name() + ".next"), JSON.writeValueAsBytes(config));
            Files.move(next, config(part), StandardCopyOption.ATOMIC_MOVE);
            part.signal("HUP");
        }
    }

    // ---- what is seen of it ----

    /** All that are members now, hollow and real. */
    int present() {
        return running.size() + real.size() + keepers.size();
    }

    int runningHollow() {
        return running.size();
    }

    Views views() throws IOException {
        return all(HollowProcess::views).stream().reduce(Views.NONE, Views::and);
    }

    Stats stats() throws IOException {
        return all(HollowProcess::stats).stream().reduce(Stats.NONE, Stats::and);
    }

    /** Whether every member there is sees all others, and holds the same view. */
    boolean isOneView() throws IOException {
        Views views = views();
        return views.areOne(running.size(), present())
                && realsSee(views.digests().keySet().iterator().next());
    }

    /** Whether a keeper leads. */
    boolean isLed() throws IOException {
        for (ManagedProcess keeper : keepers) {
            if (keeper.askAdminJson("duties").path("leads").asBoolean()) {
                return true;
            }
        }
        return false;
    }

    /** The heap that all hollow processes hold after a collection, in MB. */
    double heldMb() throws IOException {
        return all(process -> process.ask("gc").path("heap_mb").asDouble()).stream()
                .mapToDouble(Double::doubleValue)
                .sum();
    }

    /** Whether everybody who is there sees as many as there are, and so nobody who has ended. */
    boolean allSeeWhoIsThere() throws IOException {
        Views views = views();
        return views.running() == running.size()
                && views.least() == present()
                && views.most() == present()
                && realsSee(null);
    }

    private boolean realsSee(String digest) throws IOException {
        for (ManagedProcess part : members()) {
            JsonNode view = part.askAdminJson("members");
            if (view.path("present").asInt() != present()
                    || (digest != null && !view.path("digest").asText().equals(digest))) {
                return false;
            }
        }
        return true;
    }

    private List<ManagedProcess> members() {
        List<ManagedProcess> members = new ArrayList<>(real);
        members.addAll(keepers);
        return members;
    }

    /** Sidecars that are members. */
    List<ManagedProcess> real() {
        return real;
    }

    /** Sidecars without a fleet. */
    List<ManagedProcess> plain() {
        return plain;
    }

    List<ManagedProcess> keepers() {
        return keepers;
    }

    ListServer discovery() {
        return discovery;
    }

    Places places() {
        return places;
    }

    /** What a door counts of bytes, in and out; empty where it does not answer. */
    static Map<String, Long> bytes(ManagedProcess part) throws IOException {
        Map<String, Long> bytes = new LinkedHashMap<>();
        part.askAdminJson("members")
                .path("counts")
                .fields()
                .forEachRemaining(
                        each -> {
                            if (each.getKey().startsWith("bytes ")) {
                                bytes.put(
                                        each.getKey().replace(' ', '_'), each.getValue().asLong());
                            }
                        });
        return bytes;
    }

    /** A member's process that should run and does not, or null. */
    String ended() {
        for (ManagedProcess part : members()) {
            if (!part.process().isAlive()) {
                return part.name()
                        + " ended with status "
                        + part.process().exitValue()
                        + "; its log is "
                        + part.logFile();
            }
        }
        return null;
    }

    /** Ends all, and waits for it. */
    @Override
    public void close() {
        processes.close();
        discovery.close();
        asking.shutdownNow();
        try {
            processes.awaitEnd(END_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
