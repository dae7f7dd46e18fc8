package poppynotch.router;

import poppynotch.wire.Message;

/**
 * Opens an edge's connections to control-plane replicas. The connector, its connections and their
 * listeners are all called on one thread.
 */
public interface ControlConnector {

    /** An open connection; two objects are equal only if they denote the same connection. */
    interface Connection {

        /** Sends a message. A failure is not reported, but closes the connection. */
        void send(Message message);

        /** Closes the connection and notifies its listener. */
        void close();
    }

    /** Receives the events of a connection. */
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
     * Opens a connection. The listener is never called before this method returns.
     *
     * @param replica {@code HOST:PORT} of the control-plane replica
     */
    void connect(String replica, ConnectionListener listener);
}
