package poppynotch.router;

import poppynotch.wire.Message;

/**
 * Opens an edge's connections to control-plane replicas. All calls come from, and go to, one
 * thread.
 */
public interface ControlConnector {

    /** An open connection; equal to another one only if it is the same. */
    interface Connection {

        /** Sends a message; nothing is reported if that fails, as the connection closes then. */
        void send(Message message);

        /** Closes the connection; its listener is notified as of any other end. */
        void close();
    }

    /** Is notified of what happens to a connection. */
    interface ConnectionListener {

        /** The connection is open. */
        void onConnected(Connection connection);

        /** The connection could not be opened. */
        void onConnectFailed();

        /** A message arrived. */
        void onMessage(Connection from, Message message);

        /** The connection was closed, by either side. */
        void onClosed(Connection connection);
    }

    /**
     * Opens a connection. The listener is not notified before this returns.
     *
     * @param replica {@code HOST:PORT} of the control-plane replica
     */
    void connect(String replica, ConnectionListener listener);
}
