package burlarch.node;

import sun.misc.Signal;

/**
 * Handler of SIGHUP, with which an operator requests that the settings file be read again. A program installs the
 * handler first of all, because without it the signal ends the process. A signal that arrives before a listener is set
 * stays pending and is delivered to the listener. Thread-safe; the listener runs on the thread of the signal, or on the
 * thread that sets it if a signal is pending.
 */
public final class HangupSignal {
    private static Runnable listener;
    private static boolean pending;

    private HangupSignal() {}

    /** Installs the handler, so that the signal no longer ends the process. */
    @SuppressWarnings("sunapi")
    public static void install() {
        Signal.handle(new Signal("HUP"), signal -> onSignal());
    }

    /** Runs the listener, or marks the signal as pending if there is none. */
    static synchronized void onSignal() {
        if (listener == null) {
            pending = true;
        } else {
            listener.run();
        }
    }

    /** Sets the listener and runs it at once if a signal is pending. */
    static synchronized void setListener(Runnable newListener) {
        listener = newListener;
        if (pending) {
            pending = false;
            newListener.run();
        }
    }
}
