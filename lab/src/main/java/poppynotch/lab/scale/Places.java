package poppynotch.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Where the hollow members of a scale run stand: spread evenly over five zones of two regions, in
 * racks of 24, each on an address of its own that tells its zone and rack. Immutable.
 *
 * @param members in the order of their numbers
 * @param services how many there are; each has about ten members in a row, so that it stands in all
 *     zones
 */
record Places(List<Member> members, int services) {

    /** The zones of each region. */
    static final Map<String, List<String>> REGIONS = regions();

    /** Nodos in a rack: a reading of ours. */
    static final int RACK = 24;

    /** Where real processes stand, in a rack of the first zone that no hollow member is in. */
    static final String REAL_HOST = "127.11.200.1";

    static final String REAL_ZONE = "z1";

    private static final List<String> ZONES =
            REGIONS.values().stream().flatMap(List::stream).toList();

    /** The second byte of a zone's addresses is this and the zone's number, from 1 on. */
    private static final int FIRST_BYTE = 10;

    /** Racks of a zone go below the one of the real processes. */
    private static final int MOST_RACKS = 199;

    private static final int SERVICE = 10;

    /** The most members that there are addresses for. */
    static final int MOST = MOST_RACKS * RACK * ZONES.size();

    /**
     * One hollow member.
     *
     * @param name {@code h} and its number
     * @param rack of its zone, from 1 on
     * @param service that it is a nodo of
     * @param calls the service that its sidecar calls
     */
    record Member(String name, String address, String zone, int rack, int service, int calls) {

        /** What the addresses of all in its rack begin with. */
        String rackPrefix() {
            return prefix(zone) + rack + ".";
        }
    }

    /**
     * Places so many.
     *
     * @throws IllegalArgumentException if there are fewer than one for each zone, or too many
     */
    static Places of(int size) {
        if (size < ZONES.size() || size > MOST) {
            throw new IllegalArgumentException(
                    "--size must be from " + ZONES.size() + " to " + MOST + " but is " + size);
        }
        int services = Math.max(1, size / SERVICE);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            String zone = ZONES.get(i % ZONES.size());
            int within = i / ZONES.size();
            int rack = 1 + within / RACK;
            int service = Math.min(i / SERVICE, services - 1);
            members.add(
                    new Member(
                            "h" + i,
                            prefix(zone) + rack + "." + (1 + within % RACK),
                            zone,
                            rack,
                            service,
                            (service + 1) % services));
        }
        return new Places(List.copyOf(members), services);
    }

    private static Map<String, List<String>> regions() {
        Map<String, List<String>> regions = new LinkedHashMap<>();
        regions.put("r1", List.of("z1", "z2", "z3"));
        regions.put("r2", List.of("z4", "z5"));
        return regions;
    }

    /** All zones, those of the first region first. */
    static List<String> zones() {
        return ZONES;
    }

    /** The region of a zone. */
    static String region(String zone) {
        return REGIONS.entrySet().stream()
                .filter(region -> region.getValue().contains(zone))
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    /** What the addresses of all in a zone begin with. */
    static String prefix(String zone) {
        return "127." + (FIRST_BYTE + 1 + ZONES.indexOf(zone)) + ".";
    }

    /** The members of a rack. */
    List<Member> of(String zone, int rack) {
        return members.stream()
                .filter(member -> member.zone().equals(zone) && member.rack() == rack)
                .toList();
    }

    /** How many hollow members call a service. */
    long callers(int service) {
        return members.stream().filter(member -> member.calls() == service).count();
    }
}
