package poppynotch.lab.socket;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Allocates addresses on loopback: each process gets an IP address of its own, and a port that is
 * free at the time.
 */
public final class LoopbackAddresses {

    /** The last byte of an address is 1 to this, as 0 and 255 have meanings of their own. */
    private static final int HOSTS_PER_NETWORK = 250;

    private LoopbackAddresses() {}

    /**
     * Allocates an address.
     *
     * @param group from 1 on, another one for each kind of processes
     * @param number of the process in its group
     * @throws UncheckedIOException if no port is free
     */
    public static InetSocketAddress allocate(int group, int number) {
        byte[] ip = {
            127,
            (byte) (16 + group),
            (byte) (number / HOSTS_PER_NETWORK),
            (byte) (1 + number % HOSTS_PER_NETWORK)
        };
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByAddress(ip))) {
            return new InetSocketAddress(probe.getInetAddress(), probe.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException("no port is free on loopback", e);
        }
    }

    /** Formats an address as IP:port. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
