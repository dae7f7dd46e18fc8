package poppynotch.lab.socket;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Deals out addresses on loopback: each process gets one of its own, at a port that is free now.
 */
public final class Addresses {

    /** The last byte of an address goes up to here, as 0 and 255 have meanings of their own. */
    private static final int HOSTS = 250;

    private Addresses() {}

    /** An address for a process: {@code group} from 1 on keeps kinds of processes apart. */
    public static InetSocketAddress fresh(int group, int number) {
        byte[] ip = {
            127, (byte) (16 + group), (byte) (number / HOSTS), (byte) (1 + number % HOSTS)
        };
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByAddress(ip))) {
            return new InetSocketAddress(probe.getInetAddress(), probe.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException("no port is free on loopback", e);
        }
    }

    /** The address as IP:port. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
