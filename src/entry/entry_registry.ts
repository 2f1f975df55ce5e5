/**
 * The dependency injection container of an entry host. Its factories call the static `create`
 * methods of classes, so that constructors can stay private.
 */

import "reflect-metadata";
import {
  container,
  type DependencyContainer,
  type InjectionToken,
  instanceCachingFactory,
} from "tsyringe";

/** A class as the token of its instance; its constructor may be private. */
export interface ClassToken<Instance> {
  /** The prototype, which gives the type of the instances. */
  readonly prototype: Instance;
}

/** Creates each registered instance once, on first use. */
export class EntryRegistry {
  readonly #container: DependencyContainer = container.createChildContainer();

  private constructor() {}

  /** Creates an empty registry. */
  static create(): EntryRegistry {
    return new EntryRegistry();
  }

  /** Registers the factory of a class's single instance. */
  add<Instance>(token: ClassToken<Instance>, create: () => Instance): void {
    this.#container.register(toInjectionToken(token), {
      useFactory: instanceCachingFactory(create),
    });
  }

  /** Gets the single instance of a class. */
  get<Instance>(token: ClassToken<Instance>): Instance {
    return this.#container.resolve(toInjectionToken(token));
  }
}

function toInjectionToken<Instance>(token: ClassToken<Instance>): InjectionToken<Instance> {
  return token as unknown as InjectionToken<Instance>;
}
