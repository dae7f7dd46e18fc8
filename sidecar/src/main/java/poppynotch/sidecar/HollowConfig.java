package poppynotch.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import poppynotch.balancer.BalancerSettingsReader;

/**
 * What a hollow process is told at its start.
 *
 * @param name of the process, for its log
 * @param door where it is told what to do; port 0 is any
 * @param threads event loops that the members share
 * @param log the file for what members log, or null
 * @param fleet what all members' {@code fleet} sections have in common
 * @param sidecar what all members' configurations have in common
 */
record HollowConfig(
        String name,
        InetSocketAddress door,
        int threads,
        Path log,
        Map<?, ?> fleet,
        Map<?, ?> sidecar,
        HollowNetwork network,
        List<Member> members) {

    private static final Set<String> KEYS =
            Set.of("name", "door", "threads", "log", "fleet", "sidecar", "network", "members");
    private static final Set<String> MEMBER_KEYS =
            Set.of("name", "address", "service", "duties", "discovery");
    private static final int MOST_THREADS = 64;
    private static final int MOST_MEMBERS = 10_000;

    /**
     * One member.
     *
     * @param address that it sends from and listens at; the port is any that is free
     * @param service what it says as its tier, or null
     * @param duties those that it wants, or null
     * @param discovery where it asks for its list, or null for where all do
     */
    record Member(
            String name, InetAddress address, String service, Map<?, ?> duties, String discovery) {}

    /**
     * Reads the file; anything missing or bad is an exception whose message names field and value.
     */
    static HollowConfig read(Path file) throws IOException {
        try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
            in.nextToken();
            if (!(in.currentToken() != null
                    && BalancerSettingsReader.readJsonValue(in) instanceof Map<?, ?> config)) {
                throw new IllegalArgumentException(file + " holds no JSON object");
            }
            return of(config);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(file + " is not JSON: " + e.getOriginalMessage(), e);
        }
    }

    private static HollowConfig of(Map<?, ?> config) {
        known("", config, KEYS);
        double threads = config.get("threads") instanceof Double number ? number : 0;
        if (threads != Math.rint(threads) || threads < 1 || threads > MOST_THREADS) {
            throw ServerList.invalidField("threads", config.get("threads"));
        }
        List<Member> members = members(config.get("members"));
        Set<InetAddress> addresses = new HashSet<>();
        members.forEach(member -> addresses.add(member.address()));
        HollowNetwork network = new HollowNetwork(map("network", config.get("network")), addresses);
        for (Member member : members) {
            if (network.zone(member.address()) == null) {
                throw new IllegalArgumentException(
                        "member "
                                + member.name()
                                + " stands in no zone: "
                                + member.address().getHostAddress());
            }
        }
        return new HollowConfig(
                text("name", config.get("name")),
                ServerList.address("door", config.get("door")),
                (int) threads,
                config.get("log") == null ? null : Path.of(text("log", config.get("log"))),
                map("fleet", config.get("fleet")),
                map("sidecar", config.get("sidecar")),
                network,
                members);
    }

    private static List<Member> members(Object value) {
        if (!(value instanceof List<?> list) || list.isEmpty() || list.size() > MOST_MEMBERS) {
            throw ServerList.invalidField("members", value);
        }
        List<Member> members = new ArrayList<>();
        Set<Object> taken = new HashSet<>();
        for (Object each : list) {
            Map<?, ?> member = map("members[]", each);
            known("members[].", member, MEMBER_KEYS);
            String name = text("members[].name", member.get("name"));
            String address = text("members[].address", member.get("address"));
            if (address.contains(":")) {
                throw ServerList.invalidField("members[].address", address);
            }
            InetAddress ip = ServerList.address("members[].address", address + ":0").getAddress();
            if (!taken.add(name) || !taken.add(ip)) {
                throw new IllegalArgumentException(
                        "two members have the name or address of " + name + " at " + address);
            }
            members.add(
                    new Member(
                            name,
                            ip,
                            member.get("service") == null
                                    ? null
                                    : text("members[].service", member.get("service")),
                            member.get("duties") == null
                                    ? null
                                    : map("members[].duties", member.get("duties")),
                            member.get("discovery") == null
                                    ? null
                                    : text("members[].discovery", member.get("discovery"))));
        }
        return List.copyOf(members);
    }

    private static void known(String path, Map<?, ?> section, Set<String> keys) {
        section.keySet()
                .forEach(
                        key -> {
                            if (!keys.contains(key)) {
                                throw new IllegalArgumentException(
                                        "field "
                                                + path
                                                + key
                                                + " is none of "
                                                + String.join(
                                                        ", ", keys.stream().sorted().toList()));
                            }
                        });
    }

    private static Map<?, ?> map(String field, Object value) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw ServerList.invalidField(field, value);
    }

    private static String text(String field, Object value) {
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw ServerList.invalidField(field, value);
    }

    /**
     * A member's own configuration, read as a sidecar reads its own: from a file, which is there
     * for that long. Each read makes its own objects, as each process has its own.
     */
    SidecarConfig configure(Member member) throws IOException {
        String zone = network.zone(member.address());
        String listen = member.address().getHostAddress() + ":0";
        Map<Object, Object> section = new LinkedHashMap<>(fleet);
        section.put("listen", listen);
        section.put("zone", zone);
        if (member.service() != null) {
            section.put("tier", member.service());
        }
        if (member.duties() != null) {
            section.put("duties", member.duties());
        }
        Map<Object, Object> whole = new LinkedHashMap<>(sidecar);
        whole.put("name", member.name());
        whole.put("listen", listen);
        whole.put(
                "seed",
                Long.toHexString(new SplittableRandom(member.name().hashCode()).nextLong()));
        whole.put("fleet", section);
        if (member.discovery() != null) {
            whole.put("discovery", member.discovery());
        }
        if (sidecar.get("settings") instanceof Map<?, ?> settings
                && settings.get("azs") instanceof List<?> zones
                && zones.contains(zone)) {
            Map<Object, Object> own = new LinkedHashMap<>(settings);
            own.put("zone", zones.indexOf(zone));
            whole.put("settings", own);
        }
        Path file = Files.createTempFile("hollow", ".json");
        try {
            Files.writeString(file, HollowJson.of(whole));
            return SidecarConfig.read(file);
        } finally {
            Files.delete(file);
        }
    }
}
