/**
 * The replicated state in the register, {@link burlarch.controller.state.SystemState}, and the changes to it.
 *
 * <p>Job: pure functions from one state to the next, the encoding of a state, and the translation of a proposal's
 * result for the caller of a change. Thread: any; everything here is immutable or a pure function. Owner of the state:
 * the register; {@link burlarch.controller.register.CommittedState} holds the newest committed copy of a controller.
 */
package burlarch.controller.state;
