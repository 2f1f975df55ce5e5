/** The container of an entry host, by class: constructors stay private behind their `create` methods. */

import "reflect-metadata";
import {
  container,
  type DependencyContainer,
  type InjectionToken,
  instanceCachingFactory,
} from "tsyringe";

/** A class whose constructor may be private. */
export interface ClassToken<Instance> {
  /** The prototype, which gives the type of the instances. */
  readonly prototype: Instance;
}

/** Makes each registered object once, when it is first asked for. */
export class EntryRegistry {
  readonly #container: DependencyContainer = container.createChildContainer();

  private constructor() {}

  /** Creates an empty registry. */
  static create(): EntryRegistry {
    return new EntryRegistry();
  }

  /** Adds how the one instance of a class is made. */
  add<Instance>(concept: ClassToken<Instance>, create: () => Instance): void {
    this.#container.register(toToken(concept), { useFactory: instanceCachingFactory(create) });
  }

  /** Gets the one instance of a class. */
  get<Instance>(concept: ClassToken<Instance>): Instance {
    return this.#container.resolve(toToken(concept));
  }
}

function toToken<Instance>(concept: ClassToken<Instance>): InjectionToken<Instance> {
  return concept as unknown as InjectionToken<Instance>;
}
